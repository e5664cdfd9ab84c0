package detect

import "time"

// claim is the evidence at the time at which it passed the threshold. The test ends there; what comes in later does not
// change it, apart from the comparison with the other targets.
type claim struct {
	evidence
	at time.Duration
}
