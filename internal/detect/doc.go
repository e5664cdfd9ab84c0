// Package detect decides whether a target is failing. It runs a sequential test on the outcomes of real work: the
// cumulative sum (CUSUM) of the log-likelihood ratio between "like the service's other targets" and several ways of
// failing. A result of the test counts only after it was computed again with what the other targets saw in the same
// period, so that a bad caller, a slow shared dependency or overload accuses no target.
//
// A suspected target returns through a few idempotent trials after a hold-down that doubles for flapping targets.
// All decisions are functions of the detector's state, the event and the node's own monotonic clock.
package detect
