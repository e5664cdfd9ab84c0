package declaration

import (
	"cmp"
	"encoding/json"
	"time"
)

// Class determines whether a request may run more than once.
type Class string

const (
	// Idempotent requests may run more than once.
	Idempotent Class = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Class = "non-idempotent"
)

// Priority determines which requests are served first when capacity or link bandwidth is scarce.
type Priority string

const (
	// Interactive requests are served before bulk requests.
	Interactive Priority = "interactive"
	// Bulk requests, such as archive pulls, wait for interactive requests.
	Bulk Priority = "bulk"
)

// Route maps requests to a service and sets the rules for running them.
type Route struct {
	// Host matches the request's host without port; empty matches every host.
	Host string `json:"host,omitempty"`
	// Methods lists the methods that match; empty matches every method.
	Methods []string `json:"methods,omitempty"`
	// Path is a prefix of whole path segments; "/" matches every path.
	Path string `json:"path"`
	// Class is set by the operator. Empty means idempotent for GET, HEAD and OPTIONS and non-idempotent for all other
	// methods.
	Class Class `json:"class,omitempty"`
	// TimeoutMS is the time for the whole request in milliseconds; 0 means DefaultTimeoutMS.
	TimeoutMS int64 `json:"timeout_ms,omitempty"`
	// FirstByteMS is the time limit for the first byte of the response, in milliseconds; 0 means DefaultFirstByteMS. A
	// request that exceeds it counts as a failure of the target.
	FirstByteMS int64 `json:"first_byte_ms,omitempty"`
	// RetryStatuses lists statuses of idempotent requests that are retried at another target.
	RetryStatuses []int `json:"retry_statuses,omitempty"`
	// FailStatuses lists statuses that count as a failure of the target; empty means 500, 502, 503 and 504.
	FailStatuses []int `json:"fail_statuses,omitempty"`
	// Priority is the priority of the requests; empty means Interactive.
	Priority Priority `json:"priority,omitempty"`
	// BelowOnly means that a request path matches only if it begins with Path including its trailing slash.
	BelowOnly bool `json:"below_only,omitempty"`
	// ObjectiveMS is the latency objective in milliseconds: the time within which a response is fully useful; 0 means the
	// whole timeout.
	ObjectiveMS int64 `json:"objective_ms,omitempty"`
	// Rank orders routes by urgency, 0 the most urgent.
	Rank int `json:"rank,omitempty"`
	// MaxAttempts limits the number of targets to which one request is sent; 0 means the default of the retry policy.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Split divides the requests among services by weight; empty means that all go to the declaring service.
	Split []Share `json:"split,omitempty"`
	// RequiresKey means that callers must send the API key of a client account.
	RequiresKey bool `json:"requires_key,omitempty"`
	// Requires names what a build must be able to apply to serve the route. A build that does not know one of the names refuses
	// the requests of the route. What follows from other fields, such as RequirementAPIKeys from RequiresKey, is only written
	// into the encoded form.
	Requires []string `json:"requires,omitempty"`
	// Unsupported is the reason why this build cannot serve the route; its requests are refused. It is empty for a route
	// that is served.
	Unsupported string `json:"unsupported,omitempty"`
}

const (
	// DefaultTimeoutMS is the time for the whole request of a route that sets none, in milliseconds.
	DefaultTimeoutMS = 30_000
	// DefaultFirstByteMS is the time to the first byte of a route that sets none, in milliseconds.
	DefaultFirstByteMS = 5_000
)

// Timeout returns the time for the whole request. An unsupported route may have a timeout that is not valid, which counts as none.
func (r *Route) Timeout() time.Duration {
	if !isTimeout(r.TimeoutMS) {
		return DefaultTimeoutMS * time.Millisecond
	}
	return time.Duration(cmp.Or(r.TimeoutMS, DefaultTimeoutMS)) * time.Millisecond
}

// MarshalJSON implements json.Marshaler. It adds the requirements that follow from other fields.
func (r Route) MarshalJSON() ([]byte, error) {
	type plain Route
	if r.RequiresKey {
		r.Requires = withRequirement(r.Requires, RequirementAPIKeys)
	}
	return json.Marshal(plain(r))
}

// dropImpliedRequirements removes the requirements that MarshalJSON adds.
func (r *Route) dropImpliedRequirements() {
	if r.RequiresKey {
		r.Requires = withoutRequirement(r.Requires, RequirementAPIKeys)
	}
}
