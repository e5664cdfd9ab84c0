package operator

import (
	"bytes"
	"encoding/json"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// accountEdit is one change of a client account.
type accountEdit struct {
	name model.AccountName
	// edit returns the account as it is to be, nil to remove it. current is nil if it does not exist; edit must not modify it. It is
	// called again on the newest account after the group was changed by another operator.
	edit func(current *declaration.Account) (*declaration.Account, error)

	// before and after are the account before and after the last call of edit, err is its error.
	before, after *declaration.Account
	err           error
	// hasRun means that edit was called, or would have been but for the account before.
	hasRun bool
}

func (e *accountEdit) run(current *declaration.Account) {
	e.before, e.after, e.err, e.hasRun = current, nil, nil, true
	if current != nil && current.Unsupported != "" {
		e.err = refuse("account %s cannot be changed here: this build does not support it as it is declared", e.name)
		return
	}
	e.after, e.err = e.edit(current)
}

// changes reports whether the edit changes the account.
func (e *accountEdit) changes() bool { return e.err == nil && !sameAccount(e.before, e.after) }

// addedKeys returns the keys that the account did not have before.
func (e *accountEdit) addedKeys() []declaration.KeyHash {
	if e.after == nil {
		return nil
	}
	if e.before == nil {
		return e.after.KeyHashes
	}
	return statement.MissingKeys(e.before.KeyHashes, e.after.KeyHashes)
}

// sameAccount reports whether two accounts are equal; the order of their keys does not matter. A nil account is one that does not exist.
func sameAccount(a, b *declaration.Account) bool {
	if a == nil || b == nil {
		return a == b
	}
	first, errA := json.Marshal(withSortedKeys(a))
	second, errB := json.Marshal(withSortedKeys(b))
	return errA == nil && errB == nil && bytes.Equal(first, second)
}

func withSortedKeys(account *declaration.Account) *declaration.Account {
	sorted := *account
	sorted.KeyHashes = statement.SortedKeys(account.KeyHashes)
	return &sorted
}
