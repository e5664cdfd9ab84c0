package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// benchTable returns a table of size nodes with targets each, spread over 33 domains in 11 regions.
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

// BenchmarkMemory reports the heap per node record, by targets of a node and size of the table.
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

// BenchmarkSince reports the time to collect the changes of an answer from a table of 5,300 nodes.
func BenchmarkSince(b *testing.B) {
	for _, changed := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("changed=%d", changed), func(b *testing.B) {
			table := benchTable(5300, 30)
			cursor := table.Position()
			for i := range changed {
				table.Merge(Update{Record: benchRecord(i+1, 30, 2)}, 0)
			}
			for b.Loop() {
				table.Since(cursor, 0, nil)
			}
		})
	}
}

// BenchmarkMerge reports the time to merge heartbeats into a table of 5,300 nodes.
func BenchmarkMerge(b *testing.B) {
	for _, changed := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("changed=%d", changed), func(b *testing.B) {
			table := benchTable(5300, 30)
			updates := make([]Update, changed)
			for i := range updates {
				updates[i] = Update{Record: benchRecord(i+1, 0, 1), Light: true}
			}
			for b.Loop() {
				for _, update := range updates {
					update.Record.Heartbeat++
					table.Merge(update, 0)
				}
			}
		})
	}
}

// BenchmarkView reports the time to group the members after one appeared, went or changed its state.
func BenchmarkView(b *testing.B) {
	for _, size := range []int{500, 1500, 5300} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			table := benchTable(size, 0)
			for b.Loop() {
				table.View()
			}
		})
	}
}

// BenchmarkRound reports the time of the election of watchers and the choice of partners in one round.
func BenchmarkRound(b *testing.B) {
	for _, size := range []int{500, 1500, 5300} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			view := benchTable(size, 0).View()
			round := uint64(0)
			for b.Loop() {
				round++
				view.IsWatcher()
				view.Partners(round, 1)
			}
		})
	}
}

// BenchmarkExpire reports the time to update the states of all members.
func BenchmarkExpire(b *testing.B) {
	for _, size := range []int{500, 1500, 5300} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			table := benchTable(size, 0)
			for b.Loop() {
				table.Expire(0)
			}
		})
	}
}

// BenchmarkSnapshot reports the time to publish all members.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []int{500, 1500, 5300} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			table := benchTable(size, 0)
			for b.Loop() {
				table.Snapshot()
			}
		})
	}
}
