package distribution

import (
	"context"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/config"
)

// Guards against a configuration that reaches the nodes of a failure domain only through regular rounds, which takes
// seconds. This test runs no rounds.
func TestNewDocumentsReachNeighborsAtOnce(t *testing.T) {
	network := directPuller{}
	nodes := []*Distributor{
		newDistributor(t, "w", 1, network), newDistributor(t, "a", 2, network), newDistributor(t, "b", 3, network),
	}
	for _, d := range nodes {
		for _, other := range nodes {
			if d != other {
				mustPull(t, d, other.options.Self.PeerAddress)
			}
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, d := range nodes {
		go d.runPropagation(ctx)
	}
	watcher := nodes[0]
	watcher.mu.Lock()
	watcher.applyDocuments([]config.Document{{
		Key: config.ServicePrefix + "s", Value: []byte(`{"name":"s","policy":{},"routes":[]}`), Revision: 7,
	}}, delivery{})
	watcher.signalNewDocuments(0, "")
	watcher.mu.Unlock()
	for _, d := range nodes {
		for d.Snapshot().Config == nil || d.Snapshot().Config.Services["s"] == nil {
			if t.Context().Err() != nil {
				t.Fatal("the document has not arrived")
			}
			time.Sleep(time.Millisecond)
			d.publish()
		}
	}
}
