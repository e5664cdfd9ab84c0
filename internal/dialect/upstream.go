package dialect

// Upstream is the dialect of upstreams.
type Upstream struct {
	// AttemptHeader tells the upstream the ID of the attempt. Empty means that it is not told.
	AttemptHeader string
	// TimeoutHeader tells the upstream the milliseconds that are left.
	TimeoutHeader string
	// InstanceHeader tells the upstream which target the request is meant for. Empty means that it is not told.
	InstanceHeader string
	// NotRunHeader stands in the answer of an upstream that did not run the request.
	NotRunHeader string
	// EchoHeader stands in each answer with the value that it had in the request, so that an answer to another request
	// is found out. Empty means that upstreams echo nothing.
	EchoHeader string
	// SignatureHeader stands in each answer that comes from the upstream itself. Empty means that answers are not signed.
	SignatureHeader string
	// LoadHeader stands in answers and is not passed on. Empty means that there is none.
	LoadHeader string
	// EndByClose means that an answer without a length and without chunks ends with its connection.
	EndByClose bool
}
