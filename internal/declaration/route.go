package declaration

// Class says whether a request may run more than once.
type Class string

const (
	// Idempotent requests may run more than once.
	Idempotent Class = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Class = "non-idempotent"
)

// Priority says which requests go ahead where capacity or a link is short.
type Priority string

const (
	// Interactive requests go ahead of bulk ones.
	Interactive Priority = "interactive"
	// Bulk requests, such as archive pulls, wait for interactive ones.
	Bulk Priority = "bulk"
)

// Route maps requests to a service and says how they may be run.
type Route struct {
	// Host matches the request's host without port; empty matches every host.
	Host string `json:"host,omitempty"`
	// Methods lists the methods that match; empty matches every method.
	Methods []string `json:"methods,omitempty"`
	// Path is a prefix that ends at a path segment; "/" matches every path.
	Path string `json:"path"`
	// Class is the operator's word. Empty means idempotent for GET, HEAD and OPTIONS and non-idempotent for all else.
	Class Class `json:"class,omitempty"`
	// TimeoutMS is the time for the whole request in milliseconds; 0 means DefaultTimeoutMS.
	TimeoutMS int64 `json:"timeout_ms,omitempty"`
	// FirstByteMS is the time after which a missing first byte counts against the target, in milliseconds; 0 means
	// DefaultFirstByteMS.
	FirstByteMS int64 `json:"first_byte_ms,omitempty"`
	// RetryStatuses lists statuses of idempotent requests that are retried at another target.
	RetryStatuses []int `json:"retry_statuses,omitempty"`
	// FailStatuses lists statuses that count against the target; empty means 500, 502, 503 and 504.
	FailStatuses []int `json:"fail_statuses,omitempty"`
	// Priority is empty for interactive.
	Priority Priority `json:"priority,omitempty"`
	// BelowOnly means that Path with its trailing slash begins each matching path.
	BelowOnly bool `json:"below_only,omitempty"`
	// ObjectiveMS is the time within which an answer is fully useful, in milliseconds; 0 means the whole timeout.
	ObjectiveMS int64 `json:"objective_ms,omitempty"`
	// Rank orders routes by urgency, 0 the most urgent.
	Rank int `json:"rank,omitempty"`
	// MaxAttempts bounds the targets to which one request is sent; 0 means the default of the retry policy.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Split divides the requests among services by weight; empty means that all go to the declaring service.
	Split []Share `json:"split,omitempty"`
}

const (
	// DefaultTimeoutMS is the time for the whole request of a route that sets none, in milliseconds.
	DefaultTimeoutMS = 30_000
	// DefaultFirstByteMS is the time to the first byte of a route that sets none, in milliseconds.
	DefaultFirstByteMS = 5_000
)
