// Package detect implements the failure detector of a target. It runs a sequential test on the outcomes of real
// requests: the cumulative sum (CUSUM) of the log-likelihood ratio between "like the service's other targets" and
// several fault hypotheses. When the sum passes the threshold, it is computed again with the outcomes of the other
// targets in the same period. Only then is the target suspected, so that a faulty caller, a slow shared dependency or
// overload makes no target suspected.
//
// After a hold-down, which doubles for flapping targets, a suspected target returns through a few idempotent trial
// requests. All decisions are functions of the detector's state, the event and the node's own monotonic clock.
package detect
