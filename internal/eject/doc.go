// Package eject decides which suspected targets may be ejected fleet-wide. Each service has one permit document in the
// store, changed by compare-and-swap. All functions are pure; times are the node's own monotonic clock.
//
// Nodes have no common clock, so an entry carries no time. An entry is active until a node that has seen its current
// generation for TTL marks it as retiring, and it is collected by a node that has seen the mark for TTL. A node honours
// a generation for TTL after a moment at which the document with it was still in the store. Therefore nobody honours an
// entry that was collected, and the share of the floor that an entry takes is free only after that.
package eject
