package model

// Node is the identity of a daemon as its settings give it.
type Node struct {
	ID          NodeID
	Incarnation Incarnation
	Region      Region
	Domain      FailureDomain
	// PeerAddress, CallerAddress and OperatorAddress are host:port of the node's listeners.
	PeerAddress     string
	CallerAddress   string
	OperatorAddress string
}
