package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/metrics"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/settings"
)

const benchSettings = `[node]
id = n1
region = region-00
failure_domain = domain-00
[listen]
callers = 127.0.0.1:7001
peers = 127.0.0.1:7002
operators = 127.0.0.1:7003
upstreams = 127.0.0.1:7004
[store]
address = 127.0.0.1:7000
`

const (
	// benchTargetsPerNode and benchTargetsPerService are those of the target scale.
	benchTargetsPerNode    = 30
	benchTargetsPerService = 42
	benchSlots             = 7
)

// dropSink drops the log of the benchmarked node.
type dropSink struct{}

func (dropSink) Write(events.Severity, string) {}

// benchNode returns a node that is not started and knows the targets of other nodes.
func benchNode(b *testing.B, targets int) *Node {
	s, err := settings.Parse("bench", []byte(benchSettings))
	if err != nil {
		b.Fatal(err)
	}
	m := metrics.New()
	n, err := New(s, m, events.New(dropSink{}, time.Now), OwnPorts(s, m))
	if err != nil {
		b.Fatal(err)
	}
	nodes := targets / benchTargetsPerNode
	for i := range nodes {
		n.distributor.HandlePull(benchPull(i, targets/benchTargetsPerService))
	}
	// New members are published some time after the last snapshot.
	for n.distributor.Snapshot().Members == nil || len(n.distributor.Snapshot().Members.Members) <= nodes {
		time.Sleep(10 * time.Millisecond)
		n.distributor.HandlePull(benchPull(0, targets/benchTargetsPerService))
	}
	return n
}

// benchPull returns the request by which a node tells its record.
func benchPull(node, services int) *peerv1.PullRequest {
	id := fmt.Sprintf("node-%06d", node)
	state := &peerv1.NodeState{
		Id: id, Incarnation: 1, Version: 1, Heartbeat: 1, Region: "region-00", Domain: "domain-00",
		PeerAddress: fmt.Sprintf("10.0.%d.%d:7002", node/256, node%256),
	}
	for i := range benchTargetsPerNode {
		target := node*benchTargetsPerNode + i
		state.Targets = append(state.Targets, &peerv1.TargetState{
			Id: fmt.Sprintf("target-%06d", target), Service: string(benchService(target % services)),
			Slots: benchSlots, RampSlots: benchSlots, Phase: int32(model.PhaseReady), Successes: 100_000,
		})
	}
	return &peerv1.PullRequest{Node: id, Incarnation: 1, Self: state}
}

func benchService(i int) model.ServiceName { return model.ServiceName(fmt.Sprintf("service-%04d", i)) }

// benchOwn returns the targets beside the node, each of another service.
func benchOwn(count int) []model.Target {
	own := make([]model.Target, count)
	for i := range own {
		own[i] = model.Target{
			ID: model.TargetID(fmt.Sprintf("own-%03d", i)), Service: benchService(i),
			Slots: benchSlots, RampSlots: benchSlots, Phase: model.PhaseReady,
		}
	}
	return own
}

// BenchmarkDetectionStep reports the time of one judgement, which the control loop makes each controlInterval, by the
// targets of the fleet and beside the node.
func BenchmarkDetectionStep(b *testing.B) {
	for _, size := range []struct{ fleet, own int }{
		{2_400, 30}, {24_000, 30}, {160_000, 30}, {24_000, 3}, {24_000, 100}, {24_000, 300},
	} {
		b.Run(fmt.Sprintf("fleet=%d/own=%d", size.fleet, size.own), func(b *testing.B) {
			n := benchNode(b, size.fleet)
			own := benchOwn(size.own)
			n.control.detection.step(own)
			b.ReportAllocs()
			for b.Loop() {
				n.control.detection.step(own)
			}
		})
	}
}

// BenchmarkOperatorSnapshot reports the time of the facts behind an operator's answer, by the targets of the fleet. An
// apply that waits takes them ten times a second.
func BenchmarkOperatorSnapshot(b *testing.B) {
	for _, targets := range []int{2_400, 24_000, 160_000} {
		b.Run(fmt.Sprintf("fleet=%d", targets), func(b *testing.B) {
			operators := fleet{node: benchNode(b, targets)}
			b.ReportAllocs()
			for b.Loop() {
				operators.Snapshot()
			}
		})
	}
}
