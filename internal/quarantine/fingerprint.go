package quarantine

import "fmt"

// Fingerprint is the hash of the parts of a request that make it the same request when its caller sends it again.
type Fingerprint uint64

// String returns the form that is used in store keys and by operators.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
