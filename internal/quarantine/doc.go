// Package quarantine detects requests that crash upstreams. When an upstream is lost, the loss is attributed to the
// fingerprints in flight there. A fingerprint with one loss runs on one target at a time; at LossLimit losses it is
// quarantined. A success clears the losses of a fingerprint that is not quarantined. All decisions are functions of the
// table, the event and the node's own monotonic clock.
package quarantine
