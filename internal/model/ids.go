// Package model defines the value types that the other packages share. Values in a published snapshot are immutable.
package model

import "fmt"

// NodeID identifies a daemon. It is unique in the fleet and stays the same across restarts.
type NodeID string

// TargetID identifies one upstream as a target of one service. It is unique in the fleet.
type TargetID string

// ServiceName is the name under which a service is declared.
type ServiceName string

// AccountName is the name of a client account.
type AccountName string

// Region is the name of a group of failure domains.
type Region string

// FailureDomain is the name of a failure domain within a region.
type FailureDomain string

// Incarnation distinguishes a process of a node from the node's earlier processes. It increases with each process.
type Incarnation uint64

// AttemptID identifies one attempt of one request. It is never reused.
type AttemptID string

// NewAttemptID returns the ID of the serial-th attempt made by an incarnation of a node.
func NewAttemptID(node NodeID, incarnation Incarnation, serial uint64) AttemptID {
	return AttemptID(fmt.Sprintf("%s.%x.%x", node, uint64(incarnation), serial))
}
