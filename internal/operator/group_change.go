package operator

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// maxGroupAttempts limits the attempts of a group change, which starts again after a change of another account of the group.
const maxGroupAttempts = 16

// groupChange is a change of accounts of one group, which takes effect as a whole.
type groupChange struct {
	server  *Server
	group   int
	edits   []*accountEdit
	holders *keyHolders
	dryRun  bool

	// revision is the revision of the group's document after the change.
	revision int64
}

// run makes the edits on the newest accounts and writes the result. Each edit then has its result or its error.
func (c *groupChange) run(ctx context.Context) {
	err := c.apply(ctx)
	if err == nil {
		return
	}
	for _, edit := range c.edits {
		if !edit.hasRun || edit.changes() {
			edit.err = err
		}
	}
}

// apply makes the edits again after a conflict, so that concurrent changes of other accounts are kept.
func (c *groupChange) apply(ctx context.Context) error {
	var conflict *conflictError
	for range maxGroupAttempts {
		stored, err := c.server.fleet.ReadAccounts(ctx, c.group)
		if err != nil {
			return err
		}
		c.revision = stored.Revision
		accounts := c.edit(ctx, &stored.Group)
		if c.dryRun || c.changed() == 0 {
			return nil
		}
		revision, err := c.write(ctx, accounts, stored.Revision)
		if err == nil {
			c.revision = revision
			c.server.emit(events.AccountsChanged, events.CountField(c.changed()), events.RevisionField(revision))
			return nil
		}
		// If the response to an attempt was lost, another operator may have seen this change and reverted it.
		if !errors.As(err, &conflict) || conflict.outcomeUnknown {
			return err
		}
	}
	return conflict
}

func (c *groupChange) edit(ctx context.Context, stored *declaration.AccountGroup) *groupIndex {
	accounts := newGroupIndex(stored)
	for _, edit := range c.edits {
		edit.run(accounts.accounts[edit.name])
		if !edit.changes() {
			continue
		}
		if edit.err = c.checkKeys(ctx, edit, accounts); edit.err == nil {
			accounts.replace(edit)
		}
	}
	return accounts
}

// checkKeys returns a *keyTakenError if another account has a key that the edit adds.
func (c *groupChange) checkKeys(ctx context.Context, edit *accountEdit, accounts *groupIndex) error {
	for _, hash := range edit.addedKeys() {
		holder := accounts.holders[hash]
		if holder == "" {
			var err error
			if holder, err = c.holders.outside(ctx, c.group, hash); err != nil {
				return err
			}
		}
		if holder != "" && holder != edit.name {
			return &keyTakenError{hash: hash, account: edit.name, holder: holder}
		}
	}
	return nil
}

// changed returns the number of edits that change something.
func (c *groupChange) changed() int {
	count := 0
	for _, edit := range c.edits {
		if edit.changes() {
			count++
		}
	}
	return count
}

func (c *groupChange) write(ctx context.Context, accounts *groupIndex, expect int64) (int64, error) {
	fleet := c.server.fleet
	document := accounts.document(c.server.changes.next())
	return c.server.write(ctx, &documentWrite{
		title:    fmt.Sprintf("account group %d", c.group),
		changeID: document.ChangeID,
		swap:     func(ctx context.Context) (int64, error) { return fleet.SwapAccounts(ctx, c.group, expect, document) },
		read: func(ctx context.Context) (string, int64, error) {
			stored, err := fleet.ReadAccounts(ctx, c.group)
			return stored.Group.ChangeID, stored.Revision, err
		},
		compare: compareAccounts,
	})
}

func compareAccounts(value []byte) (string, []statement.Difference, error) {
	if value == nil {
		return "", nil, nil
	}
	current, err := declaration.DecodeAccountGroup(value)
	if err != nil {
		return "", nil, err
	}
	return current.ChangeID, nil, nil
}
