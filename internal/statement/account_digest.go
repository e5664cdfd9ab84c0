package statement

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"regexp"
	"slices"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// NoAccount is the digest of an account that does not exist.
const NoAccount = "none"

// digestBytes is the length of a digest before it is written in hexadecimal digits.
const digestBytes = 6

var digestPattern = regexp.MustCompile(`^(none|[0-9a-f]{12})$`)

// Digest identifies the content of an account, as "at digest" expects it. A nil account is one that does not exist. The accounts of a
// group share one revision, so the digest tells whether this account was changed.
func Digest(account *declaration.Account) string {
	if account == nil {
		return NoAccount
	}
	sorted := *account
	sorted.KeyHashes = SortedKeys(account.KeyHashes)
	// An account with numbers that JSON does not have is not valid and never stored; all such accounts share a digest.
	data, _ := json.Marshal(&sorted)
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:digestBytes])
}

// SortedKeys returns a sorted copy of the hashes, nil if there is none.
func SortedKeys(hashes []declaration.KeyHash) []declaration.KeyHash {
	if len(hashes) == 0 {
		return nil
	}
	sorted := slices.Clone(hashes)
	slices.SortFunc(sorted, func(a, b declaration.KeyHash) int { return bytes.Compare(a[:], b[:]) })
	return sorted
}
