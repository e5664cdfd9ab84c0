package distribution

import (
	"encoding/json"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// documentRoutes is the number of routes per service at the target scale.
const documentRoutes = 32

func benchDocument(b *testing.B, index int, revision int64) config.Document {
	service := declaration.Service{Name: model.ServiceName(fmt.Sprintf("service-%04d", index)), FloorSlots: 20}
	for route := range documentRoutes {
		service.Routes = append(service.Routes, declaration.Route{
			Methods: []string{"GET"}, Path: fmt.Sprintf("/service-%04d/v1/resource-%02d", index, route), TimeoutMS: 2000,
		})
	}
	value, err := service.Encode()
	if err != nil {
		b.Fatal(err)
	}
	return config.Document{Key: config.ServicePrefix + string(service.Name), Value: value, Revision: revision}
}

// BenchmarkPullDocuments reports the time and bytes of a complete Pull by the number of changed configuration
// documents. The response is built, encoded, decoded and merged into an empty table.
func BenchmarkPullDocuments(b *testing.B) {
	for _, changed := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("changed=%d", changed), func(b *testing.B) {
			network := directPuller{}
			responder := newDistributor(b, "answering", 1, network)
			for i := range changed {
				responder.MergeDocument(benchDocument(b, i, int64(i+1)), 0)
			}
			request := &peerv1.PullRequest{Node: "caller", Cursor: cursorDocumentsOnly}
			size := 0
			for b.Loop() {
				b.StopTimer()
				caller := newDistributor(b, "caller", 2, network)
				b.StartTimer()
				data, err := proto.Marshal(responder.HandlePull(request))
				if err != nil {
					b.Fatal(err)
				}
				var response peerv1.PullResponse
				if err := proto.Unmarshal(data, &response); err != nil {
					b.Fatal(err)
				}
				caller.mu.Lock()
				caller.applyConfig(&response, delivery{address: "peer"})
				caller.mu.Unlock()
				caller.publish()
				size = len(data)
			}
			b.ReportMetric(float64(size), "B/answer")
		})
	}
}

// BenchmarkListMembers reports the time and bytes of the member list that each starting node reads from the store,
// decodes and merges, by the number of members.
func BenchmarkListMembers(b *testing.B) {
	for _, members := range []int{500, 1500, 5300} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			d := newDistributor(b, "node-000000", 1, directPuller{})
			size := 0
			for i := range members {
				node := benchUpdate(i, 1, false).Record.Node
				value, err := json.Marshal(node)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := d.swap(b.Context(), MemberKey(node), 0, value); err != nil {
					b.Fatal(err)
				}
				size += len(MemberKey(node)) + len(value)
			}
			for b.Loop() {
				if err := d.listMembers(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "B/list")
		})
	}
}
