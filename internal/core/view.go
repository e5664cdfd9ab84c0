// Package core combines the pure decision packages. BuildView turns the configuration, the members and the other state of
// a node into the immutable snapshot that the request path reads. It does not read a clock, so that a test, a benchmark
// or another program can call it at a simulated time.
package core

import (
	"maps"
	"sort"

	"github.com/sardinereach/sardinereach/internal/account"
	"github.com/sardinereach/sardinereach/internal/capacity"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/routing"
)

// Inputs is the state of a node at one moment. BuildView does not modify it.
type Inputs struct {
	Self    model.Node
	Config  *config.Snapshot
	Members *membership.Snapshot
	// Ejected is the set of targets with an active ejection permit.
	Ejected map[model.TargetID]bool
	// Unreachable is the set of nodes to which this node has no working path.
	Unreachable map[model.NodeID]bool
	// Scores is the detector's evidence against the local targets. It orders targets that are excluded for equal reasons.
	Scores map[model.TargetID]float64
	// FloorShare is the share of a service's slots that stays in use. A greater capacity floor of the service takes
	// precedence.
	FloorShare float64
	// Previous is the view before, nil for the first one. Its route table is used again while the services are the same.
	Previous *View
	// Loads returns the load of a target. The returned value outlives views.
	Loads func(model.TargetID) *routing.Load
}

// View is the immutable snapshot that the request path reads.
type View struct {
	// Revision is the store revision of the configuration.
	Revision int64
	Table    *routing.Table
	// Accounts are the client accounts of the configuration, nil without one. They are those of the view before until they change.
	Accounts *account.Table
	// declared are the services of Table.
	declared map[model.ServiceName]*declaration.Service
	services map[model.ServiceName]*ServiceView
}

// ServiceView is the view of one service.
type ServiceView struct {
	Service *declaration.Service
	Pool    *routing.Pool
	// TrialCandidates are suspected targets that may receive a few idempotent trial requests.
	TrialCandidates []*routing.Candidate
	// Targets are all targets of the service, in use or excluded, ordered by ID.
	Targets []TargetView
	// Selection is the result of applying the capacity floor.
	Selection capacity.Selection
}

// TargetView is the view of one target.
type TargetView struct {
	Target  model.Target
	Node    model.Node
	Reasons capacity.Reasons
	Score   float64
}

// Service returns the service, nil if it is not declared.
func (v *View) Service(name model.ServiceName) *ServiceView {
	if v == nil {
		return nil
	}
	return v.services[name]
}

// BuildView returns the view of the inputs.
func BuildView(in Inputs) *View {
	view := &View{services: make(map[model.ServiceName]*ServiceView)}
	if in.Config != nil {
		view.Revision = in.Config.Complete
		view.declared = in.Config.Services
		view.Table = routeTable(&in)
		view.Accounts = in.Config.Accounts
		for name, service := range in.Config.Services {
			view.services[name] = &ServiceView{Service: service}
		}
	} else {
		view.Table = routing.NewTable(nil)
	}
	for _, member := range memberList(in.Members) {
		view.addMember(&in, member)
	}
	for _, service := range view.services {
		service.selectTargets(&in)
	}
	return view
}

// routeTable returns the table of the routes in the configuration.
func routeTable(in *Inputs) *routing.Table {
	if in.Previous != nil && in.Previous.declared != nil && maps.Equal(in.Previous.declared, in.Config.Services) {
		return in.Previous.Table
	}
	services := make([]*declaration.Service, 0, len(in.Config.Services))
	for _, service := range in.Config.Services {
		services = append(services, withoutSplitsTo(in.Config.Services, service))
	}
	return routing.NewTable(services)
}

func memberList(snapshot *membership.Snapshot) []membership.Member {
	if snapshot == nil {
		return nil
	}
	members := make([]membership.Member, 0, len(snapshot.Members))
	for _, member := range snapshot.Members {
		members = append(members, member)
	}
	return members
}

func (v *View) addMember(in *Inputs, member membership.Member) {
	record := member.Record
	for _, target := range record.Targets {
		service := v.services[target.Service]
		if service == nil {
			continue
		}
		service.Targets = append(service.Targets, TargetView{
			Target:  target,
			Node:    record.Node,
			Reasons: exclusionReasons(in, member, service.Service, target),
			Score:   in.Scores[target.ID],
		})
	}
}

// exclusionReasons returns the reasons for which the target is excluded.
func exclusionReasons(in *Inputs, member membership.Member, service *declaration.Service, target model.Target) capacity.Reasons {
	reasons := phaseReasons(target.Phase)
	if member.Record.Stopping || isDrained(service, target.ID) {
		reasons |= capacity.Draining
	}
	if target.Missing {
		reasons |= capacity.Missing
	}
	if target.Suspected {
		reasons |= capacity.Suspected
	}
	if in.Ejected[target.ID] {
		reasons |= capacity.Ejected
	}
	if member.State != membership.Alive || in.Unreachable[member.Record.ID] {
		reasons |= capacity.Unreachable
	}
	return reasons
}

func phaseReasons(phase model.Phase) capacity.Reasons {
	switch phase {
	case model.PhaseStarting:
		return capacity.Starting
	case model.PhaseDraining:
		return capacity.Draining
	case model.PhaseLeaving:
		return capacity.Leaving
	}
	return 0
}

func isDrained(service *declaration.Service, id model.TargetID) bool {
	for _, drained := range service.Draining {
		if drained == id {
			return true
		}
	}
	return false
}

// selectTargets applies the capacity floor, builds the pool and collects the trial candidates.
func (s *ServiceView) selectTargets(in *Inputs) {
	sort.Slice(s.Targets, func(i, j int) bool { return s.Targets[i].Target.ID < s.Targets[j].Target.ID })
	targets := s.CapacityTargets()
	s.Selection = capacity.Usable(targets, max(s.Service.FloorSlots, capacity.Share(targets, in.FloorShare)))
	byID := make(map[model.TargetID]*TargetView, len(s.Targets))
	for i := range s.Targets {
		byID[s.Targets[i].Target.ID] = &s.Targets[i]
	}
	restored := make(map[model.TargetID]bool, len(s.Selection.Restored))
	for _, id := range s.Selection.Restored {
		restored[id] = true
	}
	candidates := make([]*routing.Candidate, 0, len(s.Selection.Use))
	for _, id := range s.Selection.Use {
		c := s.candidate(in, byID[id])
		c.LastResort = restored[id]
		candidates = append(candidates, c)
	}
	s.Pool = routing.NewPool(candidates)
	for i := range s.Targets {
		t := &s.Targets[i]
		if t.Target.InTrial && !restored[t.Target.ID] && t.Reasons&^trialReasons == 0 {
			s.TrialCandidates = append(s.TrialCandidates, s.candidate(in, t))
		}
	}
}

// trialReasons are the reasons that do not exclude a target from trial requests.
const trialReasons = capacity.Suspected | capacity.Ejected

func (s *ServiceView) candidate(in *Inputs, t *TargetView) *routing.Candidate {
	return &routing.Candidate{
		Target:   t.Target,
		Node:     t.Node,
		Distance: distance(in.Self, t.Node),
		Rank:     rank(s.Service.Prefer, t.Node.Region),
		Load:     in.Loads(t.Target.ID),
	}
}

// CapacityTargets returns the targets as package capacity needs them for the capacity floor.
func (s *ServiceView) CapacityTargets() []capacity.Target {
	targets := make([]capacity.Target, len(s.Targets))
	for i, t := range s.Targets {
		targets[i] = capacity.Target{
			ID: t.Target.ID, Slots: t.Target.Slots, RampSlots: t.Target.RampSlots, Reasons: t.Reasons, Score: t.Score,
		}
	}
	return targets
}

func distance(self, other model.Node) routing.Distance {
	switch {
	case self.Region != other.Region:
		return routing.OtherRegion
	case self.Domain != other.Domain:
		return routing.SameRegion
	}
	return routing.SameDomain
}

// rank returns the position of the region in the operator's order. Regions that are not in the order come last.
func rank(prefer []model.Region, region model.Region) int {
	for i, name := range prefer {
		if name == region {
			return i
		}
	}
	return len(prefer)
}

// Services returns the declared services, ordered by name.
func (v *View) Services() []*ServiceView {
	if v == nil {
		return nil
	}
	services := make([]*ServiceView, 0, len(v.services))
	for _, service := range v.services {
		services = append(services, service)
	}
	sort.Slice(services, func(i, j int) bool { return services[i].Service.Name < services[j].Service.Name })
	return services
}
