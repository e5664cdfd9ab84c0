package account

import "github.com/sardinereach/sardinereach/internal/declaration"

// Status is what a table knows of an API key.
type Status uint8

const (
	// Undecided means that the table cannot tell: it does not have all accounts, or does not understand the one of the key.
	Undecided Status = iota
	// Known means that exactly one account has the key.
	Known
	// Unknown means that no account has the key, or more than one.
	Unknown
)

// Finding is the result of the search for an API key. The zero value is Undecided.
type Finding struct {
	Status Status
	// Account is the account of a known key, nil otherwise.
	Account *declaration.Account
}
