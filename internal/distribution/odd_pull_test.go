package distribution

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// oddState is a node record whose numbers are the largest and smallest ones.
func oddState(id string) *peerv1.NodeState {
	return &peerv1.NodeState{
		Id: id, Incarnation: math.MaxUint64, Version: math.MaxUint64, Heartbeat: math.MaxUint64, ConfigRevision: math.MaxInt64,
		PeerAddress: "10.0.0.9:99999", Domain: "d", Region: "r",
		Targets: []*peerv1.TargetState{{
			Id: "t", Service: "s", Slots: math.MinInt32, RampSlots: math.MaxInt32, InFlight: math.MinInt32, Phase: math.MaxInt32,
			FirstByteUs: math.MaxInt64, Report: "[[[",
		}, {}},
	}
}

// Guards against a Pull message of another process that ends the node.
func FuzzPull(f *testing.F) {
	for _, message := range []proto.Message{
		&peerv1.PullRequest{Node: "x", Cursor: math.MaxUint64, DocumentRevision: math.MaxInt64, NewestDocument: math.MaxInt64, Self: oddState("x")},
		&peerv1.PullRequest{Incarnation: 1, Cursor: math.MaxUint64 - 2, DocumentRevision: math.MinInt64, Self: oddState("a")},
		&peerv1.PullResponse{
			Incarnation: math.MaxUint64, Cursor: math.MaxUint64, DocumentRevision: math.MaxInt64, Nodes: []*peerv1.NodeState{oddState("x"), {}},
			Documents: []*peerv1.Document{
				{Key: ConfigPrefix + "services/s", Value: []byte("[[["), Revision: math.MaxInt64, AgeMs: math.MinInt64},
				{Key: EjectionPrefix, Value: []byte("x"), Revision: math.MinInt64}, {Key: QuarantinePrefix + "x", Deleted: true}, {},
			},
		},
	} {
		data, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		network := directPuller{}
		d := newDistributor(t, "a", 1, network)
		request, response := new(peerv1.PullRequest), new(peerv1.PullResponse)
		if proto.Unmarshal(data, request) == nil {
			d.HandlePull(request)
		}
		if proto.Unmarshal(data, response) == nil {
			d.applyPull(d.pullRequest("b"), response, delivery{address: "b", startedAt: time.Second})
		}
		d.publishNow()
		d.LoadReceivers()
		if d.HandlePull(new(peerv1.PullRequest)) == nil {
			t.Error("no response")
		}
	})
}
