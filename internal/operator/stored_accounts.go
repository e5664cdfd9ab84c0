package operator

import "github.com/sardinereach/sardinereach/internal/declaration"

// StoredAccounts is the document of a group of accounts with its revision in the store.
type StoredAccounts struct {
	Group declaration.AccountGroup
	// Revision is the store revision of the document, 0 if there is none.
	Revision int64
}
