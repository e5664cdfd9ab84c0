// Package eject decides which suspected targets may be ejected fleet-wide. Each service has one permit document in the
// store, changed by compare-and-swap. All functions are pure; times are the node's own monotonic clock.
//
// Nodes have no common clock, so an entry contains no time. An entry is active until a node that has cached its current
// generation for TTL (plus an allowance for clock drift) marks it as retiring. A node that has cached this mark for the
// same time garbage-collects the entry. A node enforces a generation only until TTL after a time at which the document
// with it was still in the store. Therefore no node enforces an entry that was garbage-collected, and only then does
// the entry free its share of the capacity floor.
//
// A store that is restored from an older copy loses entries that nodes still enforce, and brings back entries that were
// garbage-collected. Revisions then belong to a new era (store.Era). For TTL and the drift allowance after a node has
// received an era, it enforces only what it enforced before, up to the former end of that. Then no node enforces a lost
// entry any more. A holder whose entry was lost requests a new one with its next renewal.
package eject
