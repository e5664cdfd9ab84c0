package events

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

// Field is one key of an event with its formatted value.
type Field struct {
	key   Key
	value string
}

// maxValueBytes bounds the text of one field, so that a long error cannot flood the log.
const maxValueBytes = 512

func text(key Key, value string) Field {
	if len(value) > maxValueBytes {
		value = value[:maxValueBytes]
	}
	return Field{key: key, value: value}
}

func number(key Key, value int64) Field {
	return Field{key: key, value: strconv.FormatInt(value, 10)}
}

// position is a position of the store. One of a later era than 0 is written as era:revision.
func position(key Key, position int64) Field {
	if era := store.Era(position); era > 0 {
		return Field{key: key, value: fmt.Sprintf("%d:%d", era, store.WithinEra(position))}
	}
	return number(key, position)
}

// NodeField is the ID of a node.
func NodeField(id model.NodeID) Field { return text(Node, string(id)) }

// IncarnationField is the incarnation of a node.
func IncarnationField(i model.Incarnation) Field {
	return Field{key: Incarnation, value: strconv.FormatUint(uint64(i), 10)}
}

// RegionField is the name of a region.
func RegionField(region model.Region) Field { return text(Region, string(region)) }

// DomainField is the name of a failure domain.
func DomainField(domain model.FailureDomain) Field { return text(Domain, string(domain)) }

// ServiceField is the name of a service.
func ServiceField(name model.ServiceName) Field { return text(Service, string(name)) }

// TargetField is the ID of a target.
func TargetField(id model.TargetID) Field { return text(Target, string(id)) }

// AttemptField is the ID of an attempt.
func AttemptField(id model.AttemptID) Field { return text(Attempt, string(id)) }

// AddressField is host:port of a listener or a remote endpoint.
func AddressField(address string) Field { return text(Address, address) }

// RevisionField is a store revision or the number of a configuration's version.
func RevisionField(revision int64) Field { return position(Revision, revision) }

// CompleteField is the revision up to which the documents of a node are complete.
func CompleteField(revision int64) Field { return position(Complete, revision) }

// EraField is the number of the store's era, which rises with each restore from an older copy.
func EraField(era int64) Field { return number(Era, era) }

// PreviousEraField is the number of the store's era before a restore.
func PreviousEraField(era int64) Field { return number(PreviousEra, era) }

// PhaseField is the phase of an upstream.
func PhaseField(phase model.Phase) Field { return text(Phase, phase.String()) }

// OutcomeField is how a request was handled.
func OutcomeField(outcome Handling) Field { return text(Outcome, outcome.String()) }

// FingerprintField is the hash of a request.
func FingerprintField(fingerprint string) Field { return text(Fingerprint, fingerprint) }

// OperationField is the name of a call to the store or a peer, or of an operator's call. It never contains the text of a
// statement.
func OperationField(name string) Field { return text(Operation, name) }

// CauseField is the text of an error, truncated at 512 bytes. The caller must keep bodies and tokens out of the error.
func CauseField(err error) Field {
	if err == nil {
		return text(Cause, "none")
	}
	return text(Cause, err.Error())
}

// CountField is a number of items.
func CountField(n int) Field { return number(Count, int64(n)) }

// AcceptedField is a number of requests that this node has accepted and not yet answered.
func AcceptedField(n int) Field { return number(Accepted, int64(n)) }

// AdmittedField is a number of attempts that wait or run at local targets.
func AdmittedField(n int) Field { return number(Admitted, int64(n)) }

// ResponsesField is a number of retained responses that accepting nodes may still ask for.
func ResponsesField(n int) Field { return number(Responses, int64(n)) }

// CallsField is a number of open calls of other nodes.
func CallsField(n int) Field { return number(Calls, int64(n)) }

// SlotsField is a capacity in slots.
func SlotsField(n int) Field { return number(Slots, int64(n)) }

// FloorField is a capacity floor in slots.
func FloorField(n int) Field { return number(Floor, int64(n)) }

// DurationField is the duration of the event's subject.
func DurationField(d time.Duration) Field { return text(Duration, d.String()) }

// SourceField is the address of the node that delivered a document; "" stands for the store.
func SourceField(address string) Field {
	if address == "" {
		address = "store"
	}
	return text(Source, address)
}

// AgeField is the time since the newest confirmation by the store, negative if there was none.
func AgeField(age time.Duration) Field { return text(Age, age.String()) }

// BytesField is a number of bytes.
func BytesField(n int64) Field { return number(Bytes, n) }

// LimitField is the limit that a duration is compared with.
func LimitField(d time.Duration) Field { return text(Limit, d.String()) }

// RouteField is the path of a route.
func RouteField(path string) Field { return text(Route, path) }

// RequestField is the ID that the caller assigned to a request.
func RequestField(id string) Field { return text(Request, id) }

// TextOutcomeField is the outcome of an operation as free text.
func TextOutcomeField(outcome string) Field { return text(Outcome, outcome) }

// ModeField is the condition under which a target may admit the request.
func ModeField(mode string) Field { return text(Mode, mode) }

// WaitField is the time that an attempt waited for its slot, or the expected wait.
func WaitField(d time.Duration) Field { return text(Wait, d.String()) }

// DoubtField is the number of successes that the half-open circuit breaker of a target requires to close.
func DoubtField(n int) Field { return number(Doubt, int64(n)) }

// RankField is the rank of the route, 0 for the most urgent, or that of a standby, 0 for the first.
func RankField(rank int) Field { return number(Rank, int64(rank)) }

// RemainingField is the time until the deadline of the request.
func RemainingField(d time.Duration) Field { return text(Remaining, d.String()) }

// CutoffField is the time until a stopping node ends its open requests, "" on a node that is not stopping.
func CutoffField(d time.Duration, stopping bool) Field {
	if !stopping {
		return text(Cutoff, "")
	}
	return text(Cutoff, d.String())
}

// StatusField is the HTTP status of a response.
func StatusField(status int) Field { return number(Status, int64(status)) }

// GroupField is the number of a group of client accounts, as in the key of its document.
func GroupField(number string) Field { return text(Group, number) }

// DocumentField is the key of a document in the store.
func DocumentField(key string) Field { return text(Document, key) }

// AccountsField are the names of client accounts.
func AccountsField(names []model.AccountName) Field {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return text(Accounts, strings.Join(texts, ","))
}

// AccountField is the name of a client account, "" for none.
func AccountField(name model.AccountName) Field { return text(Account, string(name)) }

// AccessField is the decision on the access of a request, "" for none.
func AccessField(decision string) Field { return text(Access, decision) }

// AccessRevisionField is the revision of the configuration that decided on the access of a request.
func AccessRevisionField(revision int64) Field { return position(AccessRevision, revision) }
