package statement

import (
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// AddKey adds an API key to an account.
type AddKey struct {
	Hash    declaration.KeyHash
	Account model.AccountName
	// Place is the position of the account's name in the text.
	Place Position
}

// WithdrawKey removes an API key from an account. Requests with the key are refused from then on.
type WithdrawKey struct {
	Hash    declaration.KeyHash
	Account model.AccountName
	// Place is the position of the account's name in the text.
	Place Position
}

// RemoveAccount deletes the declaration of an account.
type RemoveAccount struct {
	Account model.AccountName
	// Place is the position of the account's name in the text.
	Place Position
	// Force allows the removal of an account that has keys.
	Force bool
}

// Verb implements Statement.
func (*AddKey) Verb() string { return "add" }

// Verb implements Statement.
func (*WithdrawKey) Verb() string { return "withdraw" }

// Verb implements Statement.
func (*RemoveAccount) Verb() string { return "remove" }
