package headers

// Leg is a part of the way of a request or its response.
type Leg uint8

const (
	// FromCaller leads from the caller to the accepting node, which removes what the caller may not set.
	FromCaller Leg = iota
	// ToUpstream leads from the accepting node to the upstream. The admitting node removes what it sets itself, because the
	// accepting node may be of an older build.
	ToUpstream
	// ToCaller leads from the upstream to the caller.
	ToCaller

	legs = iota
)
