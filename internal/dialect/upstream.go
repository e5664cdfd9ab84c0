package dialect

// Upstream is the dialect of requests to upstreams and of their responses.
type Upstream struct {
	// AttemptHeader contains the ID of the attempt. Empty means that it is not sent.
	AttemptHeader string
	// TimeoutHeader contains the remaining time of the request, in milliseconds.
	TimeoutHeader string
	// InstanceHeader contains the target that the request is addressed to. Empty means that it is not sent.
	InstanceHeader string
	// NotRunHeader marks the response of an upstream that did not run the request.
	NotRunHeader string
	// RefusalStatuses are the statuses that callers take for a declaration that the request did not run. A response with
	// such a status and without NotRunHeader is not forwarded.
	RefusalStatuses []int
	// EchoHeader has the same value in a response as in its request, so that a response to another request is detected.
	// Empty means that upstreams do not echo a header.
	EchoHeader string
	// EchoOptional means that an upstream may send responses without EchoHeader. They are accepted on new connections only,
	// because an earlier response may be sent again on a reused one.
	EchoOptional bool
	// SignatureHeader is present in each response that the upstream itself sent. Empty means that responses are not signed.
	SignatureHeader string
	// AccountHeader contains, in requests to upstreams, the client account of the request. Only the fleet sets it. Empty means
	// that it is not sent.
	AccountHeader string
	// LoadHeader is a response header that is not forwarded. Empty means that there is none.
	LoadHeader string
	// CloseDelimitedBodies means that the body of a response without a length and without chunks ends when the connection
	// is closed.
	CloseDelimitedBodies bool
}
