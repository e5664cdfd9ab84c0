package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// maxSuggestedAccounts limits the number of accounts among which the nearest name is searched.
const maxSuggestedAccounts = 10_000

// declareAccount applies the declaration of one account without force. Errors name the position in the statement.
func (s *Server) declareAccount(ctx context.Context, declared *statement.Declaration) (string, error) {
	apply := newAccountApply(s, []statement.Declaration{*declared}, false, false)
	result := apply.run(ctx)[0]
	change := apply.changes[0]
	if change.err != nil {
		lines := []string{change.err.Error()}
		if result.Outcome == OutcomeConflict {
			lines = append(lines, result.Differences...)
		} else {
			lines = append(lines, result.Warnings...)
		}
		return "", atPlace(change.place(), &accountCommandError{text: strings.Join(lines, "\n"), cause: change.err})
	}
	return fmt.Sprintf("account %s %s, group revision %d", result.Account, result.Outcome, result.Revision), nil
}

// accountCommandError is the error of a command that declares an account, with the details of the change.
type accountCommandError struct {
	text  string
	cause error
}

// Error implements the error interface.
func (e *accountCommandError) Error() string { return e.text }

// Unwrap returns the error of the change.
func (e *accountCommandError) Unwrap() error { return e.cause }

// atPlace adds the position in the statement to an error.
func atPlace(place statement.Position, err error) error {
	if err == nil {
		return nil
	}
	return errors.WithMessage(err, place.String())
}

func (s *Server) addKey(ctx context.Context, command *statement.AddKey) (string, error) {
	id := statement.KeyID(command.Hash)
	message, err := s.editAccount(ctx, command.Account, command.Hash, func(account *declaration.Account) (string, error) {
		if slices.Contains(account.KeyHashes, command.Hash) {
			return fmt.Sprintf("account %s has the key %s already", account.Name, id), nil
		}
		account.KeyHashes = statement.SortedKeys(append(slices.Clone(account.KeyHashes), command.Hash))
		return fmt.Sprintf("the key %s is added to account %s", id, account.Name), nil
	})
	return message, atPlace(command.Place, err)
}

func (s *Server) withdrawKey(ctx context.Context, command *statement.WithdrawKey) (string, error) {
	id := statement.KeyID(command.Hash)
	message, err := s.editAccount(ctx, command.Account, command.Hash, func(account *declaration.Account) (string, error) {
		index := slices.Index(account.KeyHashes, command.Hash)
		if index < 0 {
			return "", unknownName("key of account "+string(account.Name), id, nil)
		}
		account.KeyHashes = slices.Delete(slices.Clone(account.KeyHashes), index, index+1)
		return fmt.Sprintf("the key %s of account %s is withdrawn", id, account.Name), nil
	})
	return message, atPlace(command.Place, err)
}

// editAccount changes a copy of the newest account and writes it. edit returns a summary of its effect; it is called again after a
// change of another operator.
func (s *Server) editAccount(ctx context.Context, name model.AccountName, hash declaration.KeyHash, edit func(*declaration.Account) (string, error)) (string, error) {
	message := ""
	change := &accountEdit{name: name, edit: func(current *declaration.Account) (*declaration.Account, error) {
		if current == nil {
			return nil, s.unknownAccount(name)
		}
		edited := *current
		var err error
		message, err = edit(&edited)
		return &edited, err
	}}
	revision, err := s.runEdit(ctx, change, hash)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s, group revision %d", message, revision), nil
}

func (s *Server) removeAccount(ctx context.Context, command *statement.RemoveAccount) (string, error) {
	revision, err := s.runEdit(ctx, &accountEdit{name: command.Account, edit: func(current *declaration.Account) (*declaration.Account, error) {
		if current == nil {
			return nil, s.unknownAccount(command.Account)
		}
		if dangers := statement.AccountDangers(current, nil); len(dangers) > 0 && !command.Force {
			return nil, refuse("%s; add force if it is meant", dangers[0])
		}
		return nil, nil
	}})
	if err != nil {
		return "", atPlace(command.Place, err)
	}
	return fmt.Sprintf("account %s is removed, group revision %d", command.Account, revision), nil
}

// runEdit makes one edit, which may add the given keys, and returns the revision of the account's group.
func (s *Server) runEdit(ctx context.Context, edit *accountEdit, hashes ...declaration.KeyHash) (int64, error) {
	change := &groupChange{
		server: s, group: declaration.GroupOf(edit.name), edits: []*accountEdit{edit}, holders: newKeyHolders(s.fleet, hashes),
	}
	change.run(ctx)
	return change.revision, edit.err
}

func (s *Server) unknownAccount(name model.AccountName) error {
	accounts := s.fleet.Snapshot().accounts()
	var names []string
	if len(accounts) <= maxSuggestedAccounts {
		for existing := range accounts {
			names = append(names, string(existing))
		}
	}
	slices.Sort(names)
	return unknownName("account", string(name), names)
}
