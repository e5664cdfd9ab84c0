package model

// Node is the identity of a daemon, as configured in its settings.
type Node struct {
	ID          NodeID
	Incarnation Incarnation
	Region      Region
	Domain      FailureDomain
	// PeerAddress, CallerAddress and OperatorAddress are the host:port addresses of the node's listeners.
	PeerAddress     string
	CallerAddress   string
	OperatorAddress string
}
