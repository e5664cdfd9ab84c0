package events

// Key names a field of an event.
type Key string

// Keys of fields. Each has one value type, which is the parameter of the constructor with the suffix Field.
const (
	Node        Key = "node"
	Incarnation Key = "incarnation"
	Region      Key = "region"
	Domain      Key = "failure_domain"
	Service     Key = "service"
	Target      Key = "target"
	Attempt     Key = "attempt"
	Address     Key = "address"
	Revision    Key = "revision"
	Phase       Key = "phase"
	Outcome     Key = "outcome"
	Fingerprint Key = "fingerprint"
	Operation   Key = "operation"
	Cause       Key = "cause"
	Count       Key = "count"
	Slots       Key = "slots"
	Floor       Key = "floor_slots"
	Duration    Key = "duration"
	Limit       Key = "limit"
	Request     Key = "request"
	Mode        Key = "mode"
	Wait        Key = "wait"
	Doubt       Key = "doubt"
	Status      Key = "status"
	Route       Key = "route"
	Bytes       Key = "bytes"
	Complete    Key = "complete_revision"
	Era         Key = "era"
	PreviousEra Key = "previous_era"
	Source      Key = "source"
	Rank        Key = "rank"
	Remaining   Key = "remaining"
	Cutoff      Key = "cutoff"
	Age         Key = "age"
	Group       Key = "account_group"
	Accounts    Key = "accounts"
	Account     Key = "account"
	Document    Key = "document"
	Access      Key = "access"
	// AccessRevision is the revision of the configuration that decided on the access of a request.
	AccessRevision Key = "access_revision"
)
