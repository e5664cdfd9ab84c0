package config

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/account"
	"github.com/sardinereach/sardinereach/internal/declaration"
)

// AccountPrefix begins the keys of the documents of account groups.
const AccountPrefix = "config/accounts/"

// AccountKey returns the key of the document of a group of accounts (declaration.GroupOf).
func AccountKey(group int) string { return AccountPrefix + strconv.Itoa(group) }

// AccountGroupOf returns the number of the group of accounts in the document with the key, false if the key is of no group.
func AccountGroupOf(key string) (int, bool) {
	digits, ok := strings.CutPrefix(key, AccountPrefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.Atoi(digits)
	if err != nil || number < 0 || number >= declaration.AccountGroups || AccountKey(number) != key {
		return 0, false
	}
	return number, true
}

// errNoGroup is the error for a document of accounts that belongs to no group.
var errNoGroup = errors.Errorf("no group of accounts: use %s0 to %s%d", AccountPrefix, AccountPrefix, declaration.AccountGroups-1)

// decodeAccounts decodes the document of a group of accounts. Accounts that are the same in the previous group are taken from there.
// An account of another group becomes unsupported: its document may say otherwise.
func decodeAccounts(key string, value []byte, previous *account.Group) (*account.Group, error) {
	number, ok := AccountGroupOf(key)
	if !ok {
		return nil, errNoGroup
	}
	group, err := declaration.DecodeStoredAccountGroup(value)
	if err != nil {
		return nil, err
	}
	for i := range group.Accounts {
		if right := declaration.GroupOf(group.Accounts[i].Name); right != number {
			group.Accounts[i].MarkUnsupported(errors.Errorf("it is in the document of group %d and belongs to group %d", number, right))
		}
	}
	return account.NewGroup(group.Accounts, previous), nil
}
