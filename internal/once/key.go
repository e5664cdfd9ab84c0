package once

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	// claimsPrefix is the prefix of all claims in the store.
	claimsPrefix = "claims/"
	// maxKeyBytes is the length of the longest idempotency key.
	maxKeyBytes = 200
	// hashBytes is the length of the hash that represents an idempotency key in the store. Callers choose their keys, so
	// the hash must be collision resistant.
	hashBytes = 16
)

// KeyHash returns the hash that represents an idempotency key in the store, in hexadecimal digits.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:hashBytes])
}

// accountSeparator separates the account from the idempotency key in what is hashed. No valid key contains it.
const accountSeparator = "\x00"

// claimHash returns the hash that represents an idempotency key of a client account in the store, so that each account has its
// own keys. Without an account it is KeyHash.
func claimHash(account model.AccountName, key string) string {
	if account == "" {
		return KeyHash(key)
	}
	return KeyHash(string(account) + accountSeparator + key)
}

func storeKey(service model.ServiceName, hash string) string {
	return claimsPrefix + string(service) + "/" + hash
}

// validKey reports whether the key is 1 to 200 printable ASCII bytes.
func validKey(key string) bool {
	if len(key) == 0 || len(key) > maxKeyBytes {
		return false
	}
	for _, b := range []byte(key) {
		if b < ' ' || b > '~' {
			return false
		}
	}
	return true
}
