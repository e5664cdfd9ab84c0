package operator

import (
	"fmt"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// keyTakenError means that another account has a key that is to be added to an account.
type keyTakenError struct {
	hash    declaration.KeyHash
	account model.AccountName
	holder  model.AccountName
}

// Error implements the error interface.
func (e *keyTakenError) Error() string {
	return fmt.Sprintf("the key %s of account %s is a key of account %s as well; withdraw it there first", statement.KeyID(e.hash), e.account, e.holder)
}

// accountConflictError means that an account is not as the operator expected it.
type accountConflictError struct{ text string }

// Error implements the error interface.
func (e *accountConflictError) Error() string { return e.text }

func accountConflict(format string, args ...any) error {
	return &accountConflictError{text: fmt.Sprintf(format, args...)}
}

// accountDangerError means that a change of an account needs force.
type accountDangerError struct{ dangers []string }

// Error implements the error interface.
func (e *accountDangerError) Error() string { return dangerousChange }
