package declaration

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/pkg/errors"
)

// keyHashBytes is the length of a KeyHash. API keys are random, so that 128 bits of their SHA-256 identify them.
const keyHashBytes = 16

// KeyHash identifies an API key without revealing it.
type KeyHash [keyHashBytes]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(sum[:keyHashBytes])
}

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, h[:]), nil
}

// errKeyHash is the error for a text that is not a KeyHash. It does not quote the text, which may be a key by mistake.
var errKeyHash = errors.Errorf("key hash: use the base64url of %d bytes", keyHashBytes)

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *KeyHash) UnmarshalText(text []byte) error {
	decoded, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(decoded) != keyHashBytes {
		return errKeyHash
	}
	copy(h[:], decoded)
	return nil
}
