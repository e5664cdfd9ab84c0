package core

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sardinereach/sardinereach/internal/account"
	"github.com/sardinereach/sardinereach/internal/capacity"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/routing"
)

// inputs returns a service with one target of 4 slots at each of six nodes. n4 and n5 are in another region.
func inputs(service *declaration.Service, change func(i int, record *model.NodeRecord)) Inputs {
	members := make(map[model.NodeID]membership.Member)
	for i := range 6 {
		id := model.NodeID(fmt.Sprintf("n%d", i))
		region := model.Region("near")
		if i >= 4 {
			region = "far"
		}
		record := &model.NodeRecord{
			Node: model.Node{ID: id, Region: region, Domain: model.FailureDomain(fmt.Sprint(region, i%2))},
			Targets: []model.Target{{
				ID: model.TargetID(fmt.Sprintf("t%d", i)), Service: "s", Slots: 4, RampSlots: 4, Phase: model.PhaseReady,
			}},
		}
		change(i, record)
		members[id] = membership.Member{Record: record}
	}
	return Inputs{
		Self:    model.Node{ID: "n0", Region: "near", Domain: "near0"},
		Config:  &config.Snapshot{Services: map[model.ServiceName]*declaration.Service{"s": service}},
		Members: &membership.Snapshot{Members: members},
		Loads:   func(model.TargetID) *routing.Load { return new(routing.Load) },
	}
}

func pool(view *View) []model.TargetID {
	var ids []model.TargetID
	for c := range view.Service("s").Pool.All {
		ids = append(ids, c.Target.ID)
	}
	return ids
}

// Guards against excluded targets in the pool, and against targets that are excluded without a reason.
func TestViewLeavesOutTargetsForTheirReasons(t *testing.T) {
	service := &declaration.Service{Name: "s", Draining: []model.TargetID{"t0"}}
	in := inputs(service, func(i int, record *model.NodeRecord) {
		record.Stopping = i == 1
		record.Targets[0].Suspected = i == 2
		record.Targets[0].InTrial = i == 2
	})
	in.Ejected = map[model.TargetID]bool{"t3": true}
	in.Unreachable = map[model.NodeID]bool{"n4": true}
	view := BuildView(in)
	if got := pool(view); !slices.Equal(got, []model.TargetID{"t5"}) {
		t.Errorf("the view uses %v, want t5 alone", got)
	}
	want := []capacity.Reasons{
		capacity.Draining, capacity.Draining, capacity.Suspected, capacity.Ejected, capacity.Unreachable, 0,
	}
	for i, target := range view.Service("s").Targets {
		if target.Reasons != want[i] {
			t.Errorf("%s: %s, want %s", target.Target.ID, target.Reasons, want[i])
		}
	}
	if trials := view.Service("s").TrialCandidates; len(trials) != 1 || trials[0].Target.ID != "t2" {
		t.Errorf("trials %v, want t2", trials)
	}
}

// Guards against exclusions that take a service below its capacity floor in a node's view, and against a drained target
// that is restored to meet the floor.
func TestViewKeepsTheFloor(t *testing.T) {
	service := &declaration.Service{Name: "s", FloorSlots: 12, Draining: []model.TargetID{"t0"}}
	in := inputs(service, func(i int, record *model.NodeRecord) { record.Targets[0].Suspected = i > 0 })
	view := BuildView(in)
	selection := view.Service("s").Selection
	if !selection.Met() || selection.Slots != 12 || slices.Contains(selection.Use, "t0") {
		t.Errorf("selection %+v, want 12 slots without t0", selection)
	}
	for c := range view.Service("s").Pool.All {
		if !c.LastResort {
			t.Errorf("%s is suspected and not marked as a last resort", c.Target.ID)
		}
	}
}

// Guards against requests to another region that contradict the operator's order of regions.
func TestViewFollowsTheOrderOfRegions(t *testing.T) {
	none := func(int, *model.NodeRecord) {}
	near := pool(BuildView(inputs(&declaration.Service{Name: "s"}, none)))
	if !slices.Equal(near[4:], []model.TargetID{"t4", "t5"}) {
		t.Errorf("without an order the view prefers %v, want the node's own region first", near)
	}
	far := pool(BuildView(inputs(&declaration.Service{Name: "s", Prefer: []model.Region{"far"}}, none)))
	if !slices.Equal(far[:2], []model.TargetID{"t4", "t5"}) {
		t.Errorf("with far preferred the view prefers %v", far)
	}
}

// Guards against views that build the route table again although no service has changed, and against tables of changed services.
func TestViewKeepsTheRouteTableWhileServicesAreTheSame(t *testing.T) {
	service := &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/a"}}}
	in := inputs(service, func(int, *model.NodeRecord) {})
	first := BuildView(in)
	in.Previous = first
	in.Config = &config.Snapshot{Complete: 2, Services: map[model.ServiceName]*declaration.Service{"s": service}}
	second := BuildView(in)
	if second.Table != first.Table || second.Revision != 2 {
		t.Error("the route table was built again")
	}
	in.Previous = second
	in.Config = &config.Snapshot{Services: map[model.ServiceName]*declaration.Service{
		"s": {Name: "s", Routes: []declaration.Route{{Path: "/b"}}},
	}}
	third := BuildView(in)
	if third.Table.Match("", "GET", "/b") == nil || third.Table.Match("", "GET", "/a") != nil {
		t.Error("the route table of the service before is in force")
	}
}

// Guards against requests that reach a service with a restriction that this build does not know, through the split of a route of
// another service.
func TestRouteWithSplitToUnsupportedServiceIsRefused(t *testing.T) {
	service := &declaration.Service{Name: "s", Routes: []declaration.Route{
		{Path: "/a"}, {Path: "/b", Split: []declaration.Share{{Service: "s", Weight: 1}, {Service: "odd", Weight: 1}}},
	}}
	in := inputs(service, func(int, *model.NodeRecord) {})
	in.Config.Services["odd"] = &declaration.Service{Name: "odd", Unsupported: "unknown field"}
	table := BuildView(in).Table
	if match := table.Match("", "GET", "/a"); match.Route.Refusal() != nil {
		t.Errorf("the route without the split is refused: %v", match.Route.Refusal())
	}
	if match := table.Match("", "GET", "/b"); match.Route.Refusal() == nil {
		t.Error("the route with the split is served")
	}
	if service.Routes[1].Unsupported != "" {
		t.Error("the configuration was modified")
	}
}

// Guards against views that copy or build the accounts again, and against accounts that a node without a configuration decides.
func TestViewTakesTheAccountsOfTheConfiguration(t *testing.T) {
	in := inputs(&declaration.Service{Name: "s"}, func(int, *model.NodeRecord) {})
	in.Config.Accounts = account.NewTable(nil)
	if view := BuildView(in); view.Accounts != in.Config.Accounts {
		t.Error("the view has other accounts than the configuration")
	}
	in.Config = nil
	if finding := BuildView(in).Accounts.Find(declaration.HashKey("k")); finding.Status != account.Undecided {
		t.Errorf("without a configuration, a key is %+v", finding)
	}
}
