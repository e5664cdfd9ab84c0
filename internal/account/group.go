package account

import (
	"cmp"
	"slices"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Group is the immutable set of the accounts of one document.
type Group struct {
	// accounts are sorted by name.
	accounts []*declaration.Account
	// hasUnknownKeys means that an account may have keys that are not known.
	hasUnknownKeys bool
	// hasLimits means that an account has a quota.
	hasLimits bool
}

// NewGroup returns the group of the accounts, which must not be modified afterwards. Supported accounts that are the same in the
// previous group, which may be nil, are taken from there, so that a table that replaces it changes only the other ones.
func NewGroup(accounts []declaration.Account, previous *Group) *Group {
	g := &Group{accounts: make([]*declaration.Account, len(accounts))}
	for i := range accounts {
		account := &accounts[i]
		if same := previous.find(account.Name); same != nil && same.Unsupported == "" && same.Equal(account) {
			account = same
		}
		g.accounts[i] = account
		g.hasUnknownKeys = g.hasUnknownKeys || account.HasUnknownKeys()
		g.hasLimits = g.hasLimits || account.IsLimited()
	}
	slices.SortStableFunc(g.accounts, func(a, b *declaration.Account) int { return cmp.Compare(a.Name, b.Name) })
	return g
}

// Accounts returns the accounts, sorted by name. The caller must not modify them. A nil group has none.
func (g *Group) Accounts() []*declaration.Account {
	if g == nil {
		return nil
	}
	return g.accounts
}

// find returns the first account with the name, nil if there is none.
func (g *Group) find(name model.AccountName) *declaration.Account {
	accounts := g.Accounts()
	i, found := slices.BinarySearchFunc(accounts, name, func(account *declaration.Account, name model.AccountName) int {
		return cmp.Compare(account.Name, name)
	})
	if !found {
		return nil
	}
	return accounts[i]
}

// Unsupported returns the accounts that this build cannot apply.
func (g *Group) Unsupported() []*declaration.Account {
	var unsupported []*declaration.Account
	for _, account := range g.Accounts() {
		if account.Unsupported != "" {
			unsupported = append(unsupported, account)
		}
	}
	return unsupported
}

// without returns the accounts that the other group does not share with this one.
func (g *Group) without(other *Group) []*declaration.Account {
	shared := make(map[*declaration.Account]bool, len(other.Accounts()))
	for _, account := range other.Accounts() {
		shared[account] = true
	}
	var rest []*declaration.Account
	for _, account := range g.Accounts() {
		if !shared[account] {
			rest = append(rest, account)
		}
	}
	return rest
}
