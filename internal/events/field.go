package events

import (
	"strconv"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Field is one typed value of an event.
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

// NodeField names a node.
func NodeField(id model.NodeID) Field { return text(Node, string(id)) }

// IncarnationField gives an incarnation of a node.
func IncarnationField(i model.Incarnation) Field {
	return Field{key: Incarnation, value: strconv.FormatUint(uint64(i), 10)}
}

// RegionField names a region.
func RegionField(region model.Region) Field { return text(Region, string(region)) }

// DomainField names a failure domain.
func DomainField(domain model.FailureDomain) Field { return text(Domain, string(domain)) }

// ServiceField names a service.
func ServiceField(name model.ServiceName) Field { return text(Service, string(name)) }

// TargetField names a target.
func TargetField(id model.TargetID) Field { return text(Target, string(id)) }

// AttemptField names an attempt.
func AttemptField(id model.AttemptID) Field { return text(Attempt, string(id)) }

// AddressField gives host:port of a listener or a remote side.
func AddressField(address string) Field { return text(Address, address) }

// RevisionField gives a store revision.
func RevisionField(revision int64) Field { return number(Revision, revision) }

// PhaseField gives the phase of an upstream.
func PhaseField(phase model.Phase) Field { return text(Phase, phase.String()) }

// OutcomeField says what became of a request.
func OutcomeField(outcome Handling) Field { return text(Outcome, outcome.String()) }

// FingerprintField gives the hash of a request.
func FingerprintField(fingerprint string) Field { return text(Fingerprint, fingerprint) }

// OperationField names a call of the store, a peer or an operator. It never holds a statement's text.
func OperationField(name string) Field { return text(Operation, name) }

// CauseField gives the text of an error, cut at 512 bytes. The caller keeps bodies and tokens out of its errors.
func CauseField(err error) Field {
	if err == nil {
		return text(Cause, "none")
	}
	return text(Cause, err.Error())
}

// CountField gives a number of things.
func CountField(n int) Field { return number(Count, int64(n)) }

// SlotsField gives a capacity in slots.
func SlotsField(n int) Field { return number(Slots, int64(n)) }

// FloorField gives a floor in slots.
func FloorField(n int) Field { return number(Floor, int64(n)) }

// DurationField gives a time span.
func DurationField(d time.Duration) Field { return text(Duration, d.String()) }

// BytesField gives a number of bytes.
func BytesField(n int64) Field { return number(Bytes, n) }

// LimitField gives the time span that a duration is compared with.
func LimitField(d time.Duration) Field { return text(Limit, d.String()) }

// RouteField names a route by its path.
func RouteField(path string) Field { return text(Route, path) }

// RequestField gives the ID that the caller gave a request.
func RequestField(id string) Field { return text(Request, id) }

// TextOutcomeField says what became of an operation that is no request.
func TextOutcomeField(outcome string) Field { return text(Outcome, outcome) }

// ModeField says under which condition a target was asked.
func ModeField(mode string) Field { return text(Mode, mode) }

// WaitField gives the time that an attempt waited for its slot, or would have to wait.
func WaitField(d time.Duration) Field { return text(Wait, d.String()) }

// DoubtField gives the good answers that a doubtful target needs.
func DoubtField(n int) Field { return number(Doubt, int64(n)) }

// StatusField gives the status of an answer.
func StatusField(status int) Field { return number(Status, int64(status)) }
