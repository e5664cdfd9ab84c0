package operator

import (
	"strconv"
	"strings"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/statement"
)

func accountRows(snapshot *Snapshot) [][]string {
	accounts := snapshot.accounts()
	shared := accountsWithSharedKeys(accounts)
	rows := make([][]string, 0, len(accounts))
	for _, account := range accounts {
		rows = append(rows, accountRow(account, shared[account.Name]))
	}
	return rows
}

func accountRow(account *declaration.Account, sharesKey bool) []string {
	return []string{
		string(account.Name), number(len(account.KeyHashes)), rankText(account), quotaText(account.RatePerSecond),
		quotaText(account.Burst), number(declaration.GroupOf(account.Name)), accountState(account, sharesKey), keyIDs(account),
		statement.Digest(account),
	}
}

// rankText returns an empty cell for an account that keeps the rank of the route.
func rankText(account *declaration.Account) string {
	if account.Rank == nil {
		return ""
	}
	return number(*account.Rank)
}

// quotaText returns an empty cell for no limit.
func quotaText(quota float64) string {
	if quota == 0 {
		return ""
	}
	return strconv.FormatFloat(quota, 'g', -1, 64)
}

// accountState returns why keys of the account are not valid, or "ok".
func accountState(account *declaration.Account, sharesKey bool) string {
	switch {
	case account.Unsupported != "":
		return "unsupported"
	case sharesKey:
		return "shared-key"
	}
	return "ok"
}

func keyIDs(account *declaration.Account) string {
	var ids []string
	for _, hash := range statement.SortedKeys(account.KeyHashes) {
		ids = append(ids, statement.KeyID(hash))
	}
	return strings.Join(ids, ",")
}

// accountsWithSharedKeys returns the accounts that have a key of another account.
func accountsWithSharedKeys(accounts map[model.AccountName]*declaration.Account) map[model.AccountName]bool {
	shared := make(map[model.AccountName]bool)
	owners := make(map[declaration.KeyHash]model.AccountName)
	for name, account := range accounts {
		for _, hash := range account.KeyHashes {
			if other, ok := owners[hash]; ok && other != name {
				shared[name], shared[other] = true, true
			}
			owners[hash] = name
		}
	}
	return shared
}
