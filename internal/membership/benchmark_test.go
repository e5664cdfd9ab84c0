package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// benchTable returns a table of size nodes with the given number of targets each, in 33 domains of 11 regions.
func benchTable(size, targets int) *Table {
	table := NewTable(benchRecord(0, targets, 1), DefaultTiming())
	for i := 1; i < size; i++ {
		table.Merge(Update{Record: benchRecord(i, targets, 1)}, 0)
	}
	return table
}

func benchRecord(index, targets int, version uint64) *model.NodeRecord {
	record := &model.NodeRecord{
		Node: model.Node{
			ID:              model.NodeID(fmt.Sprintf("node-%06d", index)),
			Incarnation:     1_700_000_000_000_000_000,
			Region:          model.Region(fmt.Sprintf("region-%02d", index%33/3)),
			Domain:          model.FailureDomain(fmt.Sprintf("domain-%02d", index%33)),
			PeerAddress:     fmt.Sprintf("10.0.%d.%d:7001", index/256, index%256),
			CallerAddress:   fmt.Sprintf("10.0.%d.%d:7002", index/256, index%256),
			OperatorAddress: fmt.Sprintf("10.0.%d.%d:7003", index/256, index%256),
		},
		Version:   version,
		Heartbeat: version,
	}
	record.Targets = make([]model.Target, targets)
	for i := range record.Targets {
		record.Targets[i] = model.Target{
			ID:      model.TargetID(fmt.Sprintf("target-%06d-%02d", index, i)),
			Service: model.ServiceName(fmt.Sprintf("service-%04d", (index*30+i)%3800)),
			Address: fmt.Sprintf("10.1.%d.%d:%d", index/256, index%256, 9000+i),
			Slots:   7, RampSlots: 7, Phase: model.PhaseReady, Successes: 100_000, FirstByte: time.Millisecond,
		}
	}
	return record
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMemory reports the heap per node record, by targets per node and by table size.
func BenchmarkMemory(b *testing.B) {
	for _, targets := range []int{0, 10, 30} {
		for _, size := range []int{1000, 2000, 5300} {
			b.Run(fmt.Sprintf("targets=%d/nodes=%d", targets, size), func(b *testing.B) {
				for b.Loop() {
					before := heapBytes()
					table := benchTable(size, targets)
					b.ReportMetric(float64(heapBytes()-before)/float64(size), "B/node")
					runtime.KeepAlive(table)
				}
			})
		}
	}
}

// BenchmarkChanges reports the time to collect the changes for a pull response and to merge heartbeats, in a table of
// 5,300 nodes.
func BenchmarkChanges(b *testing.B) {
	for _, changed := range []int{10, 100, 1000} {
		table := benchTable(5300, 30)
		cursor := table.Position()
		updates := make([]Update, changed)
		for i := range updates {
			updates[i] = Update{Record: benchRecord(i+1, 0, 1), Light: true}
		}
		b.Run(fmt.Sprintf("merge/changed=%d", changed), func(b *testing.B) {
			for b.Loop() {
				for _, update := range updates {
					update.Record.Heartbeat++
					table.Merge(update, 0)
				}
			}
		})
		b.Run(fmt.Sprintf("since/changed=%d", changed), func(b *testing.B) {
			for b.Loop() {
				table.Since(cursor, 0, nil)
			}
		})
	}
}

// BenchmarkTable reports the time of the work of one gossip round, and of building the View after a member changes its
// state.
func BenchmarkTable(b *testing.B) {
	round := uint64(0)
	for _, size := range []int{500, 1500, 5300} {
		table := benchTable(size, 0)
		view := table.View()
		for name, work := range map[string]func(){
			"view":     func() { table.View() },
			"expire":   func() { table.Expire(0) },
			"snapshot": func() { table.Snapshot() },
			"partners": func() { round++; view.IsWatcher(); view.GossipPeers(round, 1) },
		} {
			b.Run(fmt.Sprintf("%s/nodes=%d", name, size), func(b *testing.B) {
				for b.Loop() {
					work()
				}
			})
		}
	}
}
