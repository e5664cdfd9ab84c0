package statement

import (
	"slices"
	"strconv"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// DiffAccounts lists the differences between two declarations of a client account. A nil account is one that is not declared. Keys are
// named by their IDs.
func DiffAccounts(from, to *declaration.Account) []Difference {
	before, after := accountFields(from), accountFields(to)
	var list []Difference
	for _, field := range fieldOrder(before, after) {
		if before.values[field] != after.values[field] {
			list = append(list, Difference{Field: field, Old: before.values[field], New: after.values[field]})
		}
	}
	return append(list, diffKeys(keysOf(from), keysOf(to))...)
}

func accountFields(account *declaration.Account) *fieldSet {
	set := &fieldSet{values: make(map[string]string)}
	if account == nil {
		return set
	}
	set.set("account", string(account.Name))
	if account.Rank != nil {
		set.set("rank", strconv.Itoa(*account.Rank))
	}
	if account.IsLimited() {
		set.set("rate", formatQuota(account.RatePerSecond, account.Burst))
	}
	return set
}

func keysOf(account *declaration.Account) []declaration.KeyHash {
	if account == nil {
		return nil
	}
	return SortedKeys(account.KeyHashes)
}

func diffKeys(from, to []declaration.KeyHash) []Difference {
	var list []Difference
	for _, hash := range MissingKeys(from, to) {
		list = append(list, Difference{Field: "key", New: KeyID(hash)})
	}
	for _, hash := range MissingKeys(to, from) {
		list = append(list, Difference{Field: "key", Old: KeyID(hash)})
	}
	return list
}

// MissingKeys returns the hashes of to that from lacks, in the order of to.
func MissingKeys(from, to []declaration.KeyHash) []declaration.KeyHash {
	known := make(map[declaration.KeyHash]bool, len(from))
	for _, hash := range from {
		known[hash] = true
	}
	return slices.DeleteFunc(slices.Clone(to), func(hash declaration.KeyHash) bool { return known[hash] })
}
