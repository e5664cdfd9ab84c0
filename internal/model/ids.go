// Package model holds the value types that the other packages share. Values that were published in a snapshot are
// never changed.
package model

import "fmt"

// NodeID names a daemon. It is unique in the fleet and kept over restarts.
type NodeID string

// TargetID names one upstream as a target of one service. It is unique in the fleet.
type TargetID string

// ServiceName names a service.
type ServiceName string

// Region names a region.
type Region string

// FailureDomain names a failure domain.
type FailureDomain string

// Incarnation tells one process of a node from its earlier ones. Later incarnations of a node are greater.
type Incarnation uint64

// AttemptID names one attempt of one request. It is never used twice.
type AttemptID string

// NewAttemptID returns the ID of the serial-th attempt made by an incarnation of a node.
func NewAttemptID(node NodeID, incarnation Incarnation, serial uint64) AttemptID {
	return AttemptID(fmt.Sprintf("%s.%x.%x", node, uint64(incarnation), serial))
}
