package headers

// Owner is who may set a header.
type Owner uint8

const (
	// Caller sets the headers to which neither a dialect nor HTTP gives another owner.
	Caller Owner = iota
	// Fleet sets the header itself, whatever a caller or an upstream sends.
	Fleet
	// Upstream sets the header in its responses.
	Upstream
	// Hop means that the header concerns one connection (RFC 9110, section 7.6.1).
	Hop
)
