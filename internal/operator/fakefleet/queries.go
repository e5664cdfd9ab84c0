package fakefleet

import (
	"maps"
	"slices"
	"strings"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/operator"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Snapshot implements operator.Fleet.
func (f *Fleet) Snapshot() *operator.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.countSnapshot()
	snapshot := &operator.Snapshot{
		Node:           "n1",
		ConfigRevision: f.revision,
		Complete:       !f.incomplete,
		Accounts:       maps.Values(f.activeAccounts()),
		Nodes:          slices.Clone(f.nodes),
		Ejections:      slices.Clone(f.ejections),
		Quarantine:     slices.Clone(f.quarantine),
		Refusals:       []operator.ReasonCount{{Node: "n1", Reason: verdict.SlotsFull, Count: 3}, {Node: "n1", Reason: verdict.NoRoute}},
		Retries:        []operator.ReasonCount{{Node: "n1", Reason: verdict.UpstreamShed, Count: 2}},
	}
	for _, stored := range f.documents {
		snapshot.Services = append(snapshot.Services, operator.ServiceStatus{Service: stored.Document.Service, Revision: stored.Revision})
	}
	// The services are in reverse order, so that tests fail if the API does not sort its rows.
	slices.SortFunc(snapshot.Services, func(a, b operator.ServiceStatus) int {
		return strings.Compare(string(b.Service.Name), string(a.Service.Name))
	})
	return snapshot
}

// DrainImpact implements operator.Fleet.
func (f *Fleet) DrainImpact(document *declaration.Service, target model.TargetID) operator.CapacityImpact {
	f.mu.Lock()
	defer f.mu.Unlock()
	impact := operator.CapacityImpact{Floor: document.FloorSlots}
	for _, node := range f.nodes {
		for _, candidate := range node.Record.Targets {
			if candidate.Service != document.Name || candidate.Suspected || slices.Contains(document.Draining, candidate.ID) {
				continue
			}
			impact.Usable += candidate.Slots
			if candidate.ID != target {
				impact.AfterDrain += candidate.Slots
			}
		}
	}
	return impact
}

// Explain implements operator.Fleet. It picks the first target, in the order of the nodes, that accepts requests.
func (f *Fleet) Explain(request operator.ExplainRequest) operator.Explanation {
	snapshot := f.Snapshot()
	for i := range snapshot.Services {
		service := &snapshot.Services[i].Service
		for j := range service.Routes {
			if strings.HasPrefix(request.Path, service.Routes[j].Path) {
				return explainRoute(snapshot, service, &service.Routes[j], request.Method)
			}
		}
	}
	return operator.Explanation{Refusal: verdict.NoRoute}
}

func explainRoute(snapshot *operator.Snapshot, service *declaration.Service, route *declaration.Route, method string) operator.Explanation {
	explanation := operator.Explanation{Service: service.Name, Route: route, Class: route.ClassOf(method)}
	picked := false
	for _, node := range snapshot.Nodes {
		for _, target := range node.Record.Targets {
			candidate := operator.Candidate{
				Target: target.ID, Node: node.Record.ID, Region: node.Record.Region, Domain: node.Record.Domain,
			}
			candidate.Why = why(service, &node, target, picked)
			candidate.Picked = candidate.Why == pickedReason
			picked = picked || candidate.Picked
			explanation.Candidates = append(explanation.Candidates, candidate)
		}
	}
	if !picked {
		explanation.Refusal = verdict.NoTarget
	}
	return explanation
}

const pickedReason = "fewest requests in flight"

func why(service *declaration.Service, node *operator.NodeStatus, target model.Target, picked bool) string {
	switch {
	case node.Unresponsive:
		return "node silent"
	case slices.Contains(service.Draining, target.ID):
		return "draining"
	case target.Suspected:
		return "ejected"
	case picked:
		return "another target is preferred"
	}
	return pickedReason
}
