// Package account holds the client accounts of the configuration, and finds the account of an API key. It is pure.
package account

import (
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Table is the immutable set of client accounts. It is replaced as a whole when the configuration changes.
type Table struct {
	byName map[model.AccountName]*declaration.Account
	byKey  map[declaration.KeyHash]*declaration.Account
}

// NewTable returns the table of the accounts.
func NewTable(accounts map[model.AccountName]*declaration.Account) *Table {
	t := &Table{byName: accounts, byKey: make(map[declaration.KeyHash]*declaration.Account)}
	for _, account := range accounts {
		for _, hash := range account.KeyHashes {
			t.byKey[hash] = account
		}
	}
	return t
}

// Find returns what the configuration says of an API key.
func (t *Table) Find(hash declaration.KeyHash) Finding {
	if t == nil {
		return Finding{Status: Undecided}
	}
	if account := t.byKey[hash]; account != nil {
		return Finding{Status: Known, Account: account}
	}
	return Finding{Status: Unknown}
}

// ByName returns the account with the name, nil if there is none.
func (t *Table) ByName(name model.AccountName) *declaration.Account {
	if t == nil {
		return nil
	}
	return t.byName[name]
}
