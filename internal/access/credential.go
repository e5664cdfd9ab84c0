package access

import "github.com/sardinereach/sardinereach/internal/declaration"

// Credential is what a request shows of its caller. It holds the hash of an API key, never the key.
type Credential struct {
	kind credentialKind
	hash declaration.KeyHash
}

type credentialKind uint8

const (
	noKey credentialKind = iota
	oneKey
	severalKeys
)

// NewCredential returns the credential of a request with the given values of the header for the API key. An empty value is no key.
func NewCredential(values []string) Credential {
	switch {
	case len(values) > 1:
		return Credential{kind: severalKeys}
	case len(values) == 0 || values[0] == "":
		return Credential{}
	}
	return Credential{kind: oneKey, hash: declaration.HashKey(values[0])}
}

// IsEmpty reports whether the request has no API key.
func (c Credential) IsEmpty() bool { return c.kind == noKey }

// Hash returns the hash of the API key, and false if the request does not have exactly one.
func (c Credential) Hash() (declaration.KeyHash, bool) { return c.hash, c.kind == oneKey }
