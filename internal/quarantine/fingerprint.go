package quarantine

import "fmt"

// Fingerprint is a hash of the parts of a request that are the same when its caller retries it.
type Fingerprint uint64

// String returns the form that is used in store keys and in operator commands.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
