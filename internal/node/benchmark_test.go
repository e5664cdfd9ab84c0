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
	// benchTargetsPerNode and benchTargetsPerService are the ratios at the fleet size that the project is designed for.
	benchTargetsPerNode    = 30
	benchTargetsPerService = 42
	benchSlots             = 7
)

// discardSink discards the log of the benchmarked node.
type discardSink struct{}

func (discardSink) Write(events.Severity, string) {}

// benchNode returns a node that is not started and has cached the targets of other nodes.
func benchNode(b *testing.B, targets int) *Node {
	s, err := settings.Parse("bench", []byte(benchSettings))
	if err != nil {
		b.Fatal(err)
	}
	m := metrics.New()
	n, err := New(s, m, events.New(discardSink{}, time.Now), OwnPorts(s, m))
	if err != nil {
		b.Fatal(err)
	}
	nodes := targets / benchTargetsPerNode
	for i := range nodes {
		n.distributor.HandlePull(benchPull(i, targets/benchTargetsPerService))
	}
	// The distributor publishes new members with a delay.
	for n.distributor.Snapshot().Members == nil || len(n.distributor.Snapshot().Members.Members) <= nodes {
		time.Sleep(10 * time.Millisecond)
		n.distributor.HandlePull(benchPull(0, targets/benchTargetsPerService))
	}
	return n
}

// benchPull returns a pull request that carries the record of a node.
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

// benchLocalTargets returns local targets, each of a different service.
func benchLocalTargets(count int) []model.Target {
	targets := make([]model.Target, count)
	for i := range targets {
		targets[i] = model.Target{
			ID: model.TargetID(fmt.Sprintf("own-%03d", i)), Service: benchService(i),
			Slots: benchSlots, RampSlots: benchSlots, Phase: model.PhaseReady,
		}
	}
	return targets
}

// BenchmarkDetectionStep measures one step of the detection, which the control loop runs every controlInterval, by the
// number of targets in the fleet and of local targets.
func BenchmarkDetectionStep(b *testing.B) {
	for _, size := range []struct{ fleet, local int }{
		{2_400, 30}, {24_000, 30}, {160_000, 30}, {24_000, 3}, {24_000, 100}, {24_000, 300},
	} {
		b.Run(fmt.Sprintf("fleet=%d/own=%d", size.fleet, size.local), func(b *testing.B) {
			n := benchNode(b, size.fleet)
			local := benchLocalTargets(size.local)
			n.control.detection.step(local)
			b.ReportAllocs()
			for b.Loop() {
				n.control.detection.step(local)
			}
		})
	}
}

// BenchmarkOperatorSnapshot measures the snapshot behind a response of the operators' API, by the number of targets in the
// fleet. An apply command that waits takes a snapshot ten times a second.
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
