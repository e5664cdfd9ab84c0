// Package dialect describes the differences between the HTTP interfaces that the daemon can serve: header names, and the
// rules that depend on them. The project's own interface is one dialect. A platform's adapter provides others.
package dialect

// Caller is the dialect of requests from callers.
type Caller struct {
	// TimeoutHeader contains the time that the caller waits, in milliseconds. It can shorten the route's timeout.
	TimeoutHeader string
	// RequestIDHeader contains the caller's ID of the request. Empty means that callers send no ID.
	RequestIDHeader string
	// CallSeparator separates the parts of the ID of a nested request, which an upstream sends while it runs another
	// request. The part before the separator is the ID of that other request. Empty means that nested requests cannot be
	// identified by their IDs.
	CallSeparator string
	// CallerServiceHeader contains, in requests to upstreams, the service of the accepting node's upstream. Empty means
	// that it is not sent.
	CallerServiceHeader string
	// KeyHeader contains the caller's API key. It is never forwarded. Empty means that callers send no keys.
	KeyHeader string
	// UniqueRequestIDs means that callers never send the same ID twice, so each request is a separate operation. A
	// non-idempotent request then needs neither an idempotency key nor a ticket.
	UniqueRequestIDs bool
	// SardinereachHeaders adds the verdict, reason and attempt headers to each response, and the caller's address to each
	// request.
	SardinereachHeaders bool
	// FractionalRetryAfter allows fractions of a second in Retry-After.
	FractionalRetryAfter bool
}
