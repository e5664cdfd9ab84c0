package quarantine

import "fmt"

// Fingerprint is a hash of the parts of a request that are the same when its caller retries it.
type Fingerprint uint64

// IdentityVersion is the kind of the fingerprints of this build: of host, caller, method, URI, body and, where there is one, client
// account. Fingerprints of another kind belong to other requests.
const IdentityVersion = 2

// String returns the form that is used in store keys and in operator commands.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
