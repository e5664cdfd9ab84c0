package account

import (
	"cmp"
	"slices"
	"strings"

	"github.com/sardinereach/sardinereach/internal/model"
)

// SharedKey is a mistake of the configuration: keys that belong to several accounts, so that they are not in force. The keys are not
// named.
type SharedKey struct {
	// Accounts are the names of the accounts, sorted.
	Accounts []model.AccountName
}

// String returns the names of the accounts, separated by commas.
func (k SharedKey) String() string {
	names := make([]string, len(k.Accounts))
	for i, name := range k.Accounts {
		names[i] = string(name)
	}
	return strings.Join(names, ",")
}

// SharedKeys returns the mistakes, sorted, each once for the same accounts.
func (t *Table) SharedKeys() []SharedKey {
	if t == nil {
		return nil
	}
	var keys []SharedKey
	for i := range t.index {
		for _, entries := range t.index[i].shared() {
			keys = append(keys, newSharedKey(entries))
		}
	}
	slices.SortFunc(keys, func(a, b SharedKey) int { return cmp.Compare(a.String(), b.String()) })
	return slices.CompactFunc(keys, func(a, b SharedKey) bool { return slices.Equal(a.Accounts, b.Accounts) })
}

func newSharedKey(entries []entry) SharedKey {
	var key SharedKey
	for _, e := range entries {
		key.Accounts = append(key.Accounts, e.account.Name)
	}
	slices.Sort(key.Accounts)
	return key
}
