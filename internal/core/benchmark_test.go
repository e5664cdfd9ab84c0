package core

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/routing"
)

const (
	// benchTargetsPerNode and benchTargetsPerService are the ratios at the fleet size that the project is designed for.
	benchTargetsPerNode    = 30
	benchTargetsPerService = 42
	benchRoutesPerService  = 32
	benchSlots             = 7
)

// benchInputs returns the inputs of a node in a fleet of the given size. If the targets do not fill all services, the
// remaining services have only routes.
func benchInputs(targets, routes int) Inputs {
	services := max(targets/benchTargetsPerService, routes/benchRoutesPerService, 1)
	loads := make(map[model.TargetID]*routing.Load, targets)
	return Inputs{
		Self:    model.Node{ID: "node-000000", Region: "region-00", Domain: "domain-00"},
		Config:  benchConfig(services, routes),
		Members: benchMembers(targets, max(targets/benchTargetsPerService, 1), loads),
		Loads:   func(id model.TargetID) *routing.Load { return loads[id] },
	}
}

func benchConfig(services, routes int) *config.Snapshot {
	snapshot := &config.Snapshot{Services: make(map[model.ServiceName]*declaration.Service, services)}
	for i := range services {
		name := benchService(i)
		snapshot.Services[name] = &declaration.Service{Name: name, FloorSlots: benchSlots}
	}
	for i := range routes {
		service := snapshot.Services[benchService(i%services)]
		service.Routes = append(service.Routes, declaration.Route{
			Methods: []string{"GET"}, Path: fmt.Sprintf("/%s/v1/resource-%06d", service.Name, i), TimeoutMS: 2000,
		})
	}
	return snapshot
}

func benchMembers(targets, services int, loads map[model.TargetID]*routing.Load) *membership.Snapshot {
	snapshot := &membership.Snapshot{Members: make(map[model.NodeID]membership.Member)}
	for first := 0; first < targets; first += benchTargetsPerNode {
		node := first / benchTargetsPerNode
		record := &model.NodeRecord{Node: model.Node{
			ID:     model.NodeID(fmt.Sprintf("node-%06d", node)),
			Region: model.Region(fmt.Sprintf("region-%02d", node%33/3)), Domain: model.FailureDomain(fmt.Sprintf("domain-%02d", node%33)),
		}}
		for i := first; i < min(first+benchTargetsPerNode, targets); i++ {
			id := model.TargetID(fmt.Sprintf("target-%06d", i))
			loads[id] = new(routing.Load)
			record.Targets = append(record.Targets, model.Target{
				ID: id, Service: benchService(i % services), Slots: benchSlots, RampSlots: benchSlots, Phase: model.PhaseReady,
			})
		}
		snapshot.Members[record.ID] = membership.Member{Record: record, State: membership.Alive}
	}
	return snapshot
}

func benchService(i int) model.ServiceName { return model.ServiceName(fmt.Sprintf("service-%04d", i)) }

// BenchmarkBuildView measures the build time and the retained memory of a view: by targets with few routes, by routes
// with few targets, and with many of both.
func BenchmarkBuildView(b *testing.B) {
	for _, size := range []struct{ targets, routes int }{
		{240, 32}, {2_400, 32}, {24_000, 32}, {160_000, 32},
		{240, 1_200}, {240, 12_000}, {240, 120_000},
		{160_000, 120_000},
	} {
		b.Run(fmt.Sprintf("targets=%d/routes=%d", size.targets, size.routes), func(b *testing.B) {
			in := benchInputs(size.targets, size.routes)
			before := heapBytes()
			view := BuildView(in)
			retained := heapBytes() - before
			runtime.KeepAlive(view)
			b.ReportAllocs()
			for b.Loop() {
				BuildView(in)
			}
			b.ReportMetric(float64(retained), "B/held-view")
		})
	}
}

// BenchmarkBuildRouteTable measures the route table part of BuildView by number of routes.
func BenchmarkBuildRouteTable(b *testing.B) {
	for _, routes := range []int{1_200, 12_000, 120_000} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			snapshot := benchConfig(routes/benchRoutesPerService, routes)
			for b.Loop() {
				routeTable(&Inputs{Config: snapshot})
			}
		})
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
