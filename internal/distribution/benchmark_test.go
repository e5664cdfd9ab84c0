package distribution

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// targetsPerNode is the number of local targets of a node at the target scale.
const targetsPerNode = 30

func benchUpdate(index int, version uint64, light bool) membership.Update {
	record := &model.NodeRecord{
		Node: model.Node{
			ID:          model.NodeID(fmt.Sprintf("node-%06d", index)),
			Incarnation: 1_700_000_000_000_000_000, Region: "region-01", Domain: "domain-01",
			PeerAddress:     fmt.Sprintf("10.0.%d.%d:7001", index/256, index%256),
			CallerAddress:   fmt.Sprintf("10.0.%d.%d:7002", index/256, index%256),
			OperatorAddress: fmt.Sprintf("10.0.%d.%d:7003", index/256, index%256),
		},
		Version: version, Heartbeat: 100_000 + version, ConfigRevision: 1_000_000,
	}
	for i := range targetsPerNode {
		record.Targets = append(record.Targets, model.Target{
			ID:      model.TargetID(fmt.Sprintf("target-%06d-%02d", index, i)),
			Service: model.ServiceName(fmt.Sprintf("service-%04d", (index*30+i)%3800)),
			Address: fmt.Sprintf("10.1.%d.%d:%d", index/256, index%256, 9000+i),
			Slots:   7, RampSlots: 7, Phase: model.PhaseReady, InFlight: 3, Successes: 100_000, FirstByte: time.Millisecond,
		})
	}
	return membership.Update{Record: record, Light: light}
}

// BenchmarkPull reports the time and bytes of a complete Pull by the number of changed records. The response is built,
// encoded, decoded and merged. Light updates change only the heartbeat.
func BenchmarkPull(b *testing.B) {
	for _, light := range []bool{true, false} {
		for _, changed := range []int{0, 10, 100, 1000} {
			b.Run(fmt.Sprintf("light=%v/changed=%d", light, changed), func(b *testing.B) {
				benchmarkPull(b, light, changed)
			})
		}
	}
}

func benchmarkPull(b *testing.B, light bool, changed int) {
	network := directPuller{}
	responder, caller := newDistributor(b, "answering", 1, network), newDistributor(b, "caller", 2, network)
	for index := range 1000 {
		update := benchUpdate(index, 1, false)
		responder.tables.members.Merge(update, 0)
		caller.tables.members.Merge(update, 0)
	}
	cursor := responder.tables.members.Position()
	for index := range changed {
		update := benchUpdate(index, 2, light)
		if light {
			update.Record.Version = 1
		}
		responder.tables.members.Merge(update, 0)
	}
	request := &peerv1.PullRequest{Node: "caller", Incarnation: 1, Cursor: cursor}
	size := 0
	for b.Loop() {
		data, err := proto.Marshal(responder.HandlePull(request))
		if err != nil {
			b.Fatal(err)
		}
		var response peerv1.PullResponse
		if err := proto.Unmarshal(data, &response); err != nil {
			b.Fatal(err)
		}
		caller.mergeStates(response.Nodes)
		size = len(data)
	}
	b.ReportMetric(float64(size), "B/answer")
}
