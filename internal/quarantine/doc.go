// Package quarantine finds requests that crash the upstreams that run them. When an upstream is lost, the loss is
// attributed to the fingerprints in flight there. A fingerprint with one loss runs on one target at a time; at
// LossLimit losses it is quarantined. A success clears the attribution. All decisions are functions of the table, the
// event and the node's own monotonic clock.
package quarantine
