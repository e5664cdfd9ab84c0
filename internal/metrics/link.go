package metrics

// Purpose says what bytes on a link are for.
type Purpose string

// Purposes of bytes.
const (
	// PurposeCaller is the traffic with callers.
	PurposeCaller Purpose = "caller"
	// PurposeUpstream is the traffic with the upstreams beside the node.
	PurposeUpstream Purpose = "upstream"
	// PurposeForward is forwarded requests and their answers between nodes of one region.
	PurposeForward Purpose = "forward"
	// PurposeForwardRegion is forwarded requests and their answers between regions.
	PurposeForwardRegion Purpose = "forward_region"
	// PurposeHello is heartbeats.
	PurposeHello Purpose = "hello"
	// PurposeLookup is questions about attempts and operations.
	PurposeLookup Purpose = "lookup"
	// PurposeExchange is node records, configuration and permits between nodes of one region, with heartbeats.
	PurposeExchange Purpose = "exchange"
	// PurposeExchangeRegion is the same between regions.
	PurposeExchangeRegion Purpose = "exchange_region"
	// PurposeStore is calls of the platform store.
	PurposeStore Purpose = "store"
	// PurposeOperator is the operators' API.
	PurposeOperator Purpose = "operator"
)

// Purposes returns every purpose.
func Purposes() []Purpose {
	return []Purpose{
		PurposeCaller, PurposeUpstream, PurposeForward, PurposeForwardRegion, PurposeHello, PurposeLookup,
		PurposeExchange, PurposeExchangeRegion, PurposeStore, PurposeOperator,
	}
}

// Direction says which way bytes go.
type Direction string

// Directions of bytes, as seen from the node.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// linkKey names one counter of bytes.
type linkKey struct {
	purpose   Purpose
	direction Direction
}

// String returns the form used in expvar.
func (k linkKey) String() string { return string(k.purpose) + "." + string(k.direction) }

func linkKeys() []linkKey {
	var keys []linkKey
	for _, purpose := range Purposes() {
		keys = append(keys, linkKey{purpose, Sent}, linkKey{purpose, Received})
	}
	return keys
}
