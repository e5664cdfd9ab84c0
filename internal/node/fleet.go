package node

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/capacity"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/eject"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/operator"
	"github.com/sardinereach/sardinereach/internal/quarantine"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/store"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// fleet implements the view and the commands that the operators' API needs.
type fleet struct {
	operator.Documents
	node *Node
}

// Snapshot implements operator.Fleet.
func (f *fleet) Snapshot() *operator.Snapshot {
	n := f.node
	distributed := n.distributor.Snapshot()
	view := n.acceptor.view.Load()
	s := &operator.Snapshot{Node: n.self.ID, Complete: n.distributor.Ready()}
	if distributed.Config != nil {
		s.ConfigRevision = distributed.Config.Complete
		s.Accounts = distributed.Config.Accounts.All()
		for _, service := range view.Services() {
			s.Services = append(s.Services, operator.ServiceStatus{
				Service: *service.Service, Revision: distributed.Config.Revisions[service.Service.Name],
			})
		}
	}
	s.Nodes = f.nodes(distributed.Members)
	s.Ejections = f.ejections(view)
	s.Quarantine = f.quarantine()
	s.Refusals = reasonCounts(n.self.ID, n.metrics.Refusals())
	s.Failures = reasonCounts(n.self.ID, n.metrics.Failures())
	s.Retries = reasonCounts(n.self.ID, n.metrics.Retries())
	return s
}

func reasonCounts(node model.NodeID, byReason map[verdict.Reason]int64) []operator.ReasonCount {
	out := make([]operator.ReasonCount, 0, len(byReason))
	for _, reason := range verdict.Reasons() {
		out = append(out, operator.ReasonCount{Node: node, Reason: reason, Count: byReason[reason]})
	}
	return out
}

func (f *fleet) nodes(members *membership.Snapshot) []operator.NodeStatus {
	n := f.node
	var out []operator.NodeStatus
	for id, member := range n.withSelf(members).Members {
		record := *member.Record
		record.Heartbeat = member.Heartbeat
		record.ConfigRevision = member.ConfigRevision
		if id == n.self.ID {
			record.ConfigRevision = n.distributor.Status().Complete
		}
		status := operator.NodeStatus{Record: record, Unresponsive: member.State != membership.Alive}
		if id != n.self.ID {
			status.Age = n.heartbeats.age(n.clock.now(), id)
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b operator.NodeStatus) int { return strings.Compare(string(a.Record.ID), string(b.Record.ID)) })
	return out
}

func (f *fleet) ejections(view *core.View) []operator.Ejection {
	var out []operator.Ejection
	for _, service := range view.Services() {
		for _, t := range service.Targets {
			if !t.Reasons.Has(capacity.Suspected | capacity.Ejected) {
				continue
			}
			out = append(out, operator.Ejection{
				Target: t.Target.ID, Service: service.Service.Name,
				Fleetwide: t.Reasons.Has(capacity.Ejected), Cause: t.Reasons.String(),
			})
		}
	}
	return out
}

func (f *fleet) quarantine() []operator.QuarantineEntry {
	var out []operator.QuarantineEntry
	for _, e := range f.node.crashes.entries() {
		if len(e.Losses) == 0 {
			continue
		}
		entry := operator.QuarantineEntry{
			Fingerprint: e.Fingerprint.String(), State: "suspected", Losses: len(e.Losses),
			Remaining: quarantine.LossTTL - e.Age,
		}
		if e.Quarantined() {
			entry.State, entry.Remaining = "quarantined", quarantine.QuarantineTTL-e.Age
		}
		out = append(out, entry)
	}
	return out
}

// Explain implements operator.Fleet.
func (f *fleet) Explain(request operator.ExplainRequest) operator.Explanation {
	n := f.node
	view := n.acceptor.view.Load()
	if view == nil || !n.distributor.Ready() {
		return operator.Explanation{Refusal: verdict.NotReady}
	}
	match := view.Table.Match(request.Host, request.Method, request.Path)
	if match == nil {
		return operator.Explanation{Refusal: verdict.NoRoute}
	}
	if refusal := match.Refusal(); refusal != nil {
		return operator.Explanation{Service: match.Service.Name, Route: match.Route, Refusal: refusal.Reason}
	}
	service := view.Service(match.Service.Name)
	out := operator.Explanation{
		Service: match.Service.Name, Route: match.Route, Class: match.Route.ClassOf(request.Method),
	}
	picked := service.Pool.Pick(new(routing.Tried), explainSeed)
	if picked == nil {
		out.Refusal = verdict.NoTarget
	}
	for c := range service.Pool.All {
		out.Candidates = append(out.Candidates, explainCandidate(c, picked))
	}
	for _, t := range service.Targets {
		if !inPool(service.Pool, t.Target.ID) {
			out.Candidates = append(out.Candidates, operator.Candidate{
				Target: t.Target.ID, Node: t.Node.ID, Region: t.Node.Region, Domain: t.Node.Domain, Why: t.Reasons.String(),
			})
		}
	}
	return out
}

// explainSeed makes explanations deterministic; each request uses a random seed.
const explainSeed = 0

func inPool(pool *routing.Pool, id model.TargetID) bool {
	for c := range pool.All {
		if c.Target.ID == id {
			return true
		}
	}
	return false
}

func explainCandidate(c, picked *routing.Candidate) operator.Candidate {
	out := operator.Candidate{
		Target: c.Target.ID, Node: c.Node.ID, Region: c.Node.Region, Domain: c.Node.Domain, Picked: c == picked,
	}
	load := fmt.Sprintf("%d of %d slots in use", max(c.Load.OwnInFlight.Load(), c.Load.ReportedInFlight.Load()), c.Target.RampSlots)
	switch {
	case out.Picked:
		out.Why = "the less loaded of two drawn in the nearest tier; " + load
	case c.LastResort:
		out.Why = "used only because of the floor; " + load
	case c.Distance == routing.OtherRegion:
		out.Why = "another region; " + load
	default:
		out.Why = "may be drawn as well; " + load
	}
	return out
}

// SwapService implements operator.Fleet. The new document becomes active on this node at once.
func (f *fleet) SwapService(ctx context.Context, expect int64, document *declaration.Document) (int64, error) {
	started := f.node.clock.now()
	revision, err := f.Documents.SwapService(ctx, expect, document)
	if err != nil {
		return 0, err
	}
	value, err := declaration.EncodeDocument(document)
	if err != nil {
		return 0, err
	}
	key := config.ServicePrefix + string(document.Name)
	f.node.distributor.MergeDocument(config.Document{Key: key, Value: value, Revision: revision}, started)
	return revision, nil
}

// SwapAccounts implements operator.Fleet. The new document becomes active on this node at once.
func (f *fleet) SwapAccounts(ctx context.Context, group int, expect int64, accounts *declaration.AccountGroup) (int64, error) {
	started := f.node.clock.now()
	revision, err := f.Documents.SwapAccounts(ctx, group, expect, accounts)
	if err != nil {
		return 0, err
	}
	value, err := accounts.Encode()
	if err != nil {
		return 0, err
	}
	f.node.distributor.MergeDocument(config.Document{Key: config.AccountKey(group), Value: value, Revision: revision}, started)
	return revision, nil
}

// DrainImpact implements operator.Fleet.
func (f *fleet) DrainImpact(document *declaration.Service, target model.TargetID) operator.CapacityImpact {
	impact := operator.CapacityImpact{Floor: document.FloorSlots}
	service := f.node.acceptor.view.Load().Service(document.Name)
	if service == nil {
		return impact
	}
	targets := service.CapacityTargets()
	for i := range targets {
		for _, drained := range document.Draining {
			if targets[i].ID == drained && drained != target {
				targets[i].Reasons |= capacity.Draining
			}
		}
	}
	removal := capacity.MayRemove(targets, document.FloorSlots, target)
	impact.Usable, impact.AfterDrain = removal.BeforeSlots, removal.AfterSlots
	return impact
}

// Forbid implements operator.Fleet.
func (f *fleet) Forbid(ctx context.Context, fingerprint string) error {
	parsed, err := parseFingerprint(fingerprint)
	if err != nil {
		return err
	}
	return f.node.crashes.quarantineFingerprint(ctx, parsed)
}

// Release implements operator.Fleet.
func (f *fleet) Release(ctx context.Context, fingerprint string) error {
	parsed, err := parseFingerprint(fingerprint)
	if err != nil {
		return err
	}
	return f.node.crashes.releaseFingerprint(ctx, parsed)
}

// WithdrawEjection implements operator.Fleet.
func (f *fleet) WithdrawEjection(ctx context.Context, target model.TargetID) error {
	for key := range f.node.distributor.Snapshot().Ejections {
		service := model.ServiceName(strings.TrimPrefix(key, eject.Key("")))
		err := f.node.control.ejector.change(ctx, service, func(doc eject.Document) (eject.Document, error) {
			return eject.Withdraw(doc, target)
		})
		if errors.Is(err, eject.ErrNoEntry) {
			continue
		}
		if err == nil {
			f.node.log.Emit(events.EjectionWithdrawn, events.TargetField(target), events.ServiceField(service))
		}
		return err
	}
	return store.ErrNotFound
}
