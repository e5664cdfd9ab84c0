package node

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

// logBreakerEvent logs that the circuit breaker of a local target has tripped or closed.
func (n *Node) logBreakerEvent(e admission.Event) {
	run := e.Evidence
	fields := []events.Field{
		events.TargetField(e.Target), events.AttemptField(run.Attempt), events.RouteField(run.Route),
		events.DurationField(run.RunTime), events.LimitField(run.OverdueAfter),
	}
	if e.Kind == admission.EventBreakerClosed {
		n.log.Emit(events.TargetTrusted, fields...)
		return
	}
	cause := "failed"
	if run.Overdue {
		cause = "overdue"
	}
	n.log.Emit(events.TargetDoubted, append(fields, events.CauseField(errors.New(cause)), events.CountField(run.RequiredSuccesses))...)
}

// logDistributionEvent logs an event of the distribution of records and documents, and applies its effects to the node.
func (n *Node) logDistributionEvent(e distribution.Event) {
	if strings.HasPrefix(e.Key, config.AccountPrefix) || e.Kind == distribution.KeyShared {
		n.logAccountEvent(e)
		return
	}
	service := model.ServiceName(strings.TrimPrefix(e.Key, config.ServicePrefix))
	switch e.Kind {
	case distribution.StoreFailed:
		n.storeFailing.Store(true)
		n.log.Emit(events.StoreUnavailable, events.OperationField(e.Key), events.CauseField(e.Err))
	case distribution.StoreCompacted:
		n.log.Emit(events.StoreHistoryLost, events.OperationField(e.Key), events.RevisionField(e.Revision))
	case distribution.ListOutdated:
		n.log.Emit(events.ListOutdated, events.OperationField(e.Key), events.RevisionField(e.Revision), events.CompleteField(e.Complete))
	case distribution.DocumentApplied:
		if strings.HasPrefix(e.Key, config.ServicePrefix) {
			n.log.Emit(events.ConfigApplied, events.ServiceField(service), events.RevisionField(e.Revision),
				events.SourceField(e.Address), events.DurationField(e.Duration), events.AgeField(e.Age),
				events.BytesField(e.Bytes), events.WaitField(e.Wait))
		}
	case distribution.PullFailed:
		n.log.Emit(events.PullFailed, events.AddressField(e.Address), events.RevisionField(e.Revision),
			events.DurationField(e.Duration), events.CauseField(e.Err))
	case distribution.DocumentRejected:
		n.log.Emit(events.ConfigInvalid, events.ServiceField(service), events.RevisionField(e.Revision), events.CauseField(e.Err))
	case distribution.KindUnknown:
		n.log.Emit(events.ConfigKindUnknown, events.DocumentField(e.Key), events.RevisionField(e.Revision))
	case distribution.RouteUnsupported:
		n.log.Emit(events.RouteUnsupported, events.ServiceField(service), events.RevisionField(e.Revision),
			events.RouteField(e.Route), events.CauseField(e.Err))
	case distribution.WatchStarted:
		n.log.Emit(events.WatcherStarted, events.DomainField(n.self.Domain))
	case distribution.WatchStopped:
		n.log.Emit(events.WatcherStopped, events.DomainField(n.self.Domain))
	case distribution.StandInStarted:
		n.log.Emit(events.StandInStarted, events.DomainField(n.self.Domain), events.RevisionField(e.Revision))
	case distribution.StandInStopped:
		n.log.Emit(events.StandInStopped, events.DomainField(n.self.Domain))
	case distribution.StandInFailed:
		n.log.Emit(events.StandInFailed, events.DomainField(n.self.Domain), events.RankField(e.Rank), events.AgeField(e.Age),
			events.DurationField(e.Duration), events.CauseField(e.Err))
	case distribution.ConfirmationLate:
		n.log.Emit(events.ConfirmationLate, events.RevisionField(e.Revision), events.AgeField(e.Age), events.OperationField(e.Operation))
	case distribution.ConfirmationReceived:
		n.log.Emit(events.ConfirmationReceived, events.RevisionField(e.Revision), events.DurationField(e.Age))
	case distribution.BecameReady:
		n.views.invalidate()
		n.logReady(e)
	case distribution.EraReceived:
		n.log.Emit(events.StoreEraReceived, events.EraField(store.Era(e.Revision)), events.RevisionField(store.WithinEra(e.Revision)))
	case distribution.MemberRecordLost:
		n.log.Emit(events.MemberRecordLost, events.NodeField(n.self.ID), events.IncarnationField(n.self.Incarnation))
	case distribution.Isolated:
		n.log.Emit(events.ConfigStale, events.RevisionField(e.Revision))
	}
}

// logAccountEvent logs an event about client accounts. It never logs a key or its hash.
func (n *Node) logAccountEvent(e distribution.Event) {
	group := events.GroupField(strings.TrimPrefix(e.Key, config.AccountPrefix))
	switch e.Kind {
	case distribution.AccountsApplied:
		n.log.Emit(events.AccountsApplied, group, events.RevisionField(e.Revision), events.CountField(e.Count),
			events.SourceField(e.Address), events.DurationField(e.Duration), events.AgeField(e.Age),
			events.BytesField(e.Bytes), events.WaitField(e.Wait))
	case distribution.DocumentRejected:
		n.log.Emit(events.AccountsInvalid, group, events.RevisionField(e.Revision), events.CauseField(e.Err))
	case distribution.AccountUnsupported:
		n.log.Emit(events.AccountUnsupported, events.AccountsField(e.Accounts), group, events.RevisionField(e.Revision),
			events.CauseField(e.Err))
	case distribution.KeyShared:
		n.log.Emit(events.KeyShared, events.AccountsField(e.Accounts), events.RevisionField(e.Revision))
	}
}

// logReady logs that the node accepts callers. A node that is already stopping does not begin to.
func (n *Node) logReady(e distribution.Event) {
	if n.acceptor.lameDuck.Load() {
		return
	}
	n.log.Emit(events.NodeReady, events.NodeField(n.self.ID), events.RevisionField(e.Revision), events.DurationField(n.clock.now()))
}
