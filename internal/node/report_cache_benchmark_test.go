package node

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/detect"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// benchReport returns the encoded report of a target that has responded on three routes.
func benchReport(id model.TargetID) string {
	d := detect.New(declaration.Policy{Preset: declaration.PresetHuon}, 0)
	for i := range 100 {
		route := detect.Route(fmt.Sprintf("/service/v1/resource-%02d", i%3))
		d.Observe(time.Duration(i)*time.Second, detect.Outcome{Route: route, FirstByte: 25 * time.Millisecond})
	}
	return encodeReport(d.Report(id))
}

// benchReports returns members with targets that have reports.
func benchReports(targets int) *membership.Snapshot {
	snapshot := &membership.Snapshot{Members: make(map[model.NodeID]membership.Member)}
	for node := range targets / benchTargetsPerNode {
		record := &model.NodeRecord{Node: model.Node{ID: model.NodeID(fmt.Sprintf("node-%06d", node)), Incarnation: 1}}
		for i := range benchTargetsPerNode {
			target := node*benchTargetsPerNode + i
			id := model.TargetID(fmt.Sprintf("target-%06d", target))
			record.Targets = append(record.Targets, model.Target{
				ID: id, Service: benchService(target % (targets / benchTargetsPerService)), Report: benchReport(id),
			})
		}
		snapshot.Members[record.ID] = membership.Member{Record: record, State: membership.Alive}
	}
	return snapshot
}

// BenchmarkReportCache measures the time of a pass over unchanged reports, the heap size of the cache without the encoded
// reports, and the size of one encoded report, for fleets of several sizes.
func BenchmarkReportCache(b *testing.B) {
	for _, targets := range []int{2_400, 24_000, 160_000} {
		b.Run(fmt.Sprintf("fleet=%d", targets), func(b *testing.B) {
			members := benchReports(targets)
			before := benchHeap()
			cache := newReportCache()
			cache.setServices(benchLocalServices())
			cache.update(members, "n1")
			cacheBytes := benchHeap() - before
			for b.Loop() {
				cache.update(members, "n1")
			}
			runtime.KeepAlive(cache)
			b.ReportMetric(float64(cacheBytes)/float64(targets), "B/target")
			b.ReportMetric(float64(len(benchReport("target-000000"))), "B/report")
		})
	}
}

// benchLocalServices returns as many services as have local targets on one node at the fleet size that the project is
// designed for.
func benchLocalServices() map[model.ServiceName]bool {
	services := make(map[model.ServiceName]bool, benchTargetsPerNode)
	for i := range benchTargetsPerNode {
		services[benchService(i)] = true
	}
	return services
}

func benchHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
