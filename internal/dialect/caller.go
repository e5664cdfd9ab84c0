// Package dialect holds what differs between the HTTP interfaces that the daemon can serve: names of headers, and the
// few rules that go with them. The product's own interface is one dialect; a platform's adapter provides others.
package dialect

// Caller is the dialect of callers.
type Caller struct {
	// TimeoutHeader holds the milliseconds that the caller will wait. It shortens the route's timeout.
	TimeoutHeader string
	// RequestIDHeader holds the ID that the caller gave the request. Empty means that callers give none.
	RequestIDHeader string
	// CallSeparator stands in the ID of a call that an upstream makes between the ID of the request that it runs and the rest.
	// Empty means that calls cannot be told by their IDs.
	CallSeparator string
	// CallerServiceHeader tells the upstream the service beside the accepting node. Empty means that it is not told.
	CallerServiceHeader string
	// Operations means that each request is an operation of its own: the caller never sends one ID twice, so that a
	// non-idempotent request needs neither a key nor a ticket.
	Operations bool
	// OwnHeaders adds verdict, reason and attempt to each answer, and the caller's address to each request.
	OwnHeaders bool
	// FractionalRetryAfter allows fractions of a second in Retry-After.
	FractionalRetryAfter bool
}
