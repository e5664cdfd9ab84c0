package distribution

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// smallServices returns documents of one revision, as the platform's configuration has them. Only the first one depends on path.
func smallServices(t *testing.T, path string, revision int64) []config.Document {
	t.Helper()
	const services, routes = 400, 12
	documents := make([]config.Document, services)
	for i := range documents {
		service := declaration.Service{Name: model.ServiceName(fmt.Sprintf("service-%03d", i)), Routes: []declaration.Route{{Path: "/first"}}}
		for route := range routes {
			service.Routes = append(service.Routes, declaration.Route{Host: fmt.Sprintf("h%d.example", i), Path: fmt.Sprintf("/p%d/", route)})
		}
		if i == 0 {
			service.Routes[0].Path = path
		}
		value, err := service.Encode()
		if err != nil {
			t.Fatal(err)
		}
		documents[i] = config.Document{Key: config.ServicePrefix + string(service.Name), Value: value, Revision: revision}
	}
	return documents
}

// Guards against a change of one of many small services that sends all of them, and in one message.
func TestChangeOfOneOfManySmallServicesCostsWhatChanged(t *testing.T) {
	network := directPuller{}
	responder, caller := newDistributor(t, "a", 1, network), newDistributor(t, "b", 1, network)
	for revision := int64(1); revision <= 2; revision++ {
		documents := smallServices(t, fmt.Sprintf("/v%d", revision), revision)
		responder.mu.Lock()
		responder.applyDocuments(documents, delivery{})
		responder.advance(ConfigPrefix, revision)
		responder.mu.Unlock()
		response := responder.HandlePull(caller.pullRequest("a"))
		if size, limit := proto.Size(response), 64<<10; size > limit {
			t.Errorf("the pull of revision %d has %d bytes, limit %d", revision, size, limit)
		}
		result, err := caller.pullOnce(t.Context(), "a")
		if err == nil && result.offer != nil {
			caller.mu.Lock()
			missing := len(caller.missingChunks(result.offer))
			caller.mu.Unlock()
			if revision == 2 && missing != 1 {
				t.Errorf("%d chunks are missing for one changed service", missing)
			}
			err = caller.fetchOffer(t.Context(), result.offer)
		}
		if err != nil || caller.complete(ConfigPrefix) != revision {
			t.Fatalf("complete up to %d after revision %d: %v", caller.complete(ConfigPrefix), revision, err)
		}
	}
	if route := caller.Snapshot().Config.Services["service-000"].Routes[0].Path; route != "/v2" {
		t.Errorf("route %s is in force", route)
	}
}

// Guards against a node that never gets the documents of a node whose chunks are not what their IDs say, and against one that
// takes such chunks.
func TestChunksWithOtherContentsAreNotTaken(t *testing.T) {
	network := directPuller{}
	responder, caller := newDistributor(t, "a", 1, network), newDistributor(t, "b", 1, network)
	responder.applyDocuments(smallServices(t, "/v1", 1), delivery{})
	responder.advance(ConfigPrefix, 1)
	result, err := caller.pullOnce(t.Context(), "a")
	if err != nil || result.offer == nil {
		t.Fatalf("no offer: %v", err)
	}
	kept := responder.chunks
	responder.chunks = newChunkCache()
	for id := range kept.chunks {
		responder.chunks.add(id, newCachedChunk([]byte("other contents")), 0)
	}
	if err := caller.fetchOffer(t.Context(), result.offer); err == nil || caller.complete(ConfigPrefix) != 0 {
		t.Errorf("chunks with other contents were taken: %v", err)
	}
	responder.chunks = kept
	if err := caller.fetchOffer(t.Context(), result.offer); err != nil || caller.complete(ConfigPrefix) != 1 {
		t.Errorf("the documents were not fetched afterwards: %v", err)
	}
}
