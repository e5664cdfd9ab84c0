package account

import (
	"bytes"
	"slices"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// entry is a key of an account.
type entry struct {
	hash    declaration.KeyHash
	account *declaration.Account
}

// compare orders entries by hash.
func (e entry) compare(hash declaration.KeyHash) int { return bytes.Compare(e.hash[:], hash[:]) }

// distinctHashes returns the key hashes of the account, each once.
func distinctHashes(account *declaration.Account) []declaration.KeyHash {
	hashes := slices.Clone(account.KeyHashes)
	slices.SortFunc(hashes, func(a, b declaration.KeyHash) int { return bytes.Compare(a[:], b[:]) })
	return slices.Compact(hashes)
}
