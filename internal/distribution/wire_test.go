package distribution_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"go.uber.org/goleak"

	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/store"
)

// Guards against a start that works only with the in-memory store, and against goroutines that outlive Run.
func TestStartWithStoreOverHTTP(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFleet(t)
	f.declare("ledger", "/v1")
	server := httptest.NewServer(fakestore.Handler(f.store))
	defer server.Close()
	started := make(chan struct{}, 1)
	f.options = func(o *distribution.Options) {
		o.Store = store.Dial(server.Listener.Addr().String(), nil)
		o.RegisterJitter = 1
		o.Report = func(event distribution.Event) {
			if event.Kind == distribution.BecameReady {
				started <- struct{}{}
			}
		}
	}
	node := f.newNode(0)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		node.Run(ctx)
	}()
	<-started
	if !hasRoute("ledger", "/v1")(node) {
		t.Error("the node is ready without the configuration")
	}
	stop()
	<-ended
}
