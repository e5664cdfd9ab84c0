package operator

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// accountChange is the application of one declaration of an account.
type accountChange struct {
	accountEdit
	wanted *statement.AccountDeclaration
	force  bool

	// first is the account as it was read first; seen is true from then on.
	first *declaration.Account
	seen  bool
	// dangers are those of the last edit.
	dangers []string
}

func newAccountChange(wanted *statement.AccountDeclaration, force bool) *accountChange {
	change := &accountChange{wanted: wanted, force: force}
	change.name = wanted.Account.Name
	change.edit = change.replace
	return change
}

// replace returns the wanted account, unless the current one is not the expected one or the change is dangerous.
func (c *accountChange) replace(current *declaration.Account) (*declaration.Account, error) {
	wanted := &c.wanted.Account
	c.dangers = nil
	if sameAccount(current, wanted) {
		return current, nil
	}
	if digest := statement.Digest(current); c.wanted.Digest != statement.AnyDigest && c.wanted.Digest != digest {
		return nil, accountConflict("the declaration was made for digest %s, and the account has digest %s", c.wanted.Digest, digest)
	}
	if c.seen && !sameAccount(c.first, current) {
		return nil, accountConflict("conflict: another change of account %s came first, and it has digest %s", c.name, statement.Digest(current))
	}
	c.first, c.seen = current, true
	c.dangers = statement.AccountDangers(current, wanted)
	if len(c.dangers) > 0 && !c.force {
		return nil, &accountDangerError{dangers: c.dangers}
	}
	if current != nil {
		// The language has no word for what a build must be able to apply.
		wanted.Requires = current.Requires
	}
	return wanted, nil
}

// result returns the result of the change in a group whose document is at the revision.
func (c *accountChange) result(revision int64) *operatorv1.ServiceChange {
	result := &operatorv1.ServiceChange{
		Account: string(c.name), Outcome: c.outcome(), Revision: revision, Warnings: c.dangers, Key: c.keyAtFault(),
	}
	if c.hasRun {
		result.Differences = differenceLines(statement.DiffAccounts(c.before, &c.wanted.Account))
	}
	if c.err != nil {
		result.Error = c.err.Error()
	}
	return result
}

func (c *accountChange) outcome() string {
	var changed *accountConflictError
	var conflict *conflictError
	switch {
	case errors.As(c.err, &changed), errors.As(c.err, &conflict):
		return OutcomeConflict
	case c.err != nil:
		return OutcomeRejected
	case !c.changes():
		return OutcomeUnchanged
	case c.before == nil:
		return OutcomeCreated
	}
	return OutcomeChanged
}

// keyAtFault returns the position in the declaration of the key that the error is about, from 1, or 0.
func (c *accountChange) keyAtFault() int32 {
	var taken *keyTakenError
	if !errors.As(c.err, &taken) {
		return 0
	}
	return int32(slices.Index(c.wanted.Account.KeyHashes, taken.hash) + 1)
}

// place returns the position in the text of what the error is about.
func (c *accountChange) place() statement.Position {
	if key := c.keyAtFault(); key > 0 {
		return c.wanted.KeyPlaces[key-1]
	}
	return c.wanted.Place
}
