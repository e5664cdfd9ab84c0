package metrics

// Purpose classifies the bytes on a link.
type Purpose string

const (
	// PurposeCaller is the traffic with callers.
	PurposeCaller Purpose = "caller"
	// PurposeUpstream is the traffic with the upstreams of the node's local targets.
	PurposeUpstream Purpose = "upstream"
	// PurposeForward is forwarded requests and their responses between nodes of one region.
	PurposeForward Purpose = "forward"
	// PurposeForwardRegion is forwarded requests and their responses between regions.
	PurposeForwardRegion Purpose = "forward_region"
	// PurposeHello is heartbeat calls.
	PurposeHello Purpose = "hello"
	// PurposeLookup is queries of the status of attempts and operations.
	PurposeLookup Purpose = "lookup"
	// PurposeExchange is gossip between nodes of one region: node records, heartbeats, configuration and permits.
	PurposeExchange Purpose = "exchange"
	// PurposeExchangeRegion is gossip between regions.
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

// Direction is the direction of bytes on a link.
type Direction string

// Directions relative to the node.
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
