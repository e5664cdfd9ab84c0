package config

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/account"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// testAccounts are in different groups, testKeys are the keys that they may have.
var (
	testAccounts = []model.AccountName{"ash", "cedar", "dogwood", "elm"}
	testKeys     = []string{"k0", "k1", "k2", "k3"}
)

// accountHistory is a store of groups of accounts with all of its changes. Each group has one account.
type accountHistory struct {
	changes []Document
	// keys are the keys of each account at each revision, nil for an account that does not exist.
	keys []map[model.AccountName][]string
}

func newAccountHistory() *accountHistory {
	return &accountHistory{keys: []map[model.AccountName][]string{{}}}
}

func (h *accountHistory) revision() int64 { return int64(len(h.keys) - 1) }

// write sets the keys of an account, and deletes its group if keys is nil.
func (h *accountHistory) write(name model.AccountName, keys []string) {
	next := map[model.AccountName][]string{name: keys}
	for other, otherKeys := range h.keys[h.revision()] {
		if other != name {
			next[other] = otherKeys
		}
	}
	h.keys = append(h.keys, next)
	h.changes = append(h.changes, groupDocument(name, keys, h.revision()))
}

func groupDocument(name model.AccountName, keys []string, revision int64) Document {
	document := Document{Key: AccountKey(declaration.GroupOf(name)), Revision: revision, Deleted: keys == nil}
	if keys == nil {
		return document
	}
	a := declaration.Account{Name: name}
	for _, key := range keys {
		a.KeyHashes = append(a.KeyHashes, declaration.HashKey(key))
	}
	value, err := (&declaration.AccountGroup{Accounts: []declaration.Account{a}}).Encode()
	if err != nil {
		panic(err)
	}
	document.Value = value
	return document
}

// owner returns the account that alone has the key at the revision, "" if there is none.
func (h *accountHistory) owner(key string, revision int64) model.AccountName {
	var owners []model.AccountName
	for name, keys := range h.keys[revision] {
		if slices.Contains(keys, key) {
			owners = append(owners, name)
		}
	}
	if len(owners) != 1 {
		return ""
	}
	return owners[0]
}

// list returns the documents that exist.
func (h *accountHistory) list() []Document {
	newest := map[string]Document{}
	for _, change := range h.changes {
		newest[change.Key] = change
	}
	var documents []Document
	for _, document := range newest {
		if !document.Deleted {
			documents = append(documents, document)
		}
	}
	return documents
}

func drawKeys(t *rapid.T) []string {
	if rapid.IntRange(0, 4).Draw(t, "deleted") == 0 {
		return nil
	}
	return rapid.SliceOfNDistinct(rapid.SampledFrom(testKeys), 0, 3, rapid.ID).Draw(t, "keys")
}

// checkAccounts fails if the table calls a key unknown that its copy cannot tell, or known for an account that did not have it in the
// newest document of its group that the table has had.
func (h *accountHistory) checkAccounts(t *rapid.T, table *Table, where string) {
	accounts := table.Snapshot().Accounts
	for _, key := range testKeys {
		finding := accounts.Find(declaration.HashKey(key))
		switch finding.Status {
		case account.Unknown:
			if owner := h.owner(key, table.Complete()); owner != "" {
				t.Fatalf("%s: complete up to %d, %s is unknown and belongs to %s", where, table.Complete(), key, owner)
			}
			if newest := newestGroup(table); newest > table.Complete() {
				t.Fatalf("%s: complete up to %d, %s is unknown with a change at %d", where, table.Complete(), key, newest)
			}
		case account.Known:
			document, _ := table.Get(AccountKey(declaration.GroupOf(finding.Account.Name)))
			if !slices.Contains(h.keys[document.Revision][finding.Account.Name], key) {
				t.Fatalf("%s: %s is known for %s, which lost it at %d", where, key, finding.Account.Name, document.Revision)
			}
		}
	}
}

// newestGroup returns the revision of the newest group of accounts in the table.
func newestGroup(table *Table) int64 {
	var newest int64
	for _, name := range testAccounts {
		if document, found := table.Get(AccountKey(declaration.GroupOf(name))); found {
			newest = max(newest, document.Revision)
		}
	}
	return newest
}

// checkDecided fails unless the table decides all keys as the store at the newest revision.
func (h *accountHistory) checkDecided(t *rapid.T, table *Table, where string) {
	accounts := table.Snapshot().Accounts
	for _, key := range testKeys {
		finding := accounts.Find(declaration.HashKey(key))
		owner := h.owner(key, h.revision())
		switch {
		case owner == "" && finding.Status == account.Unknown:
		case owner != "" && finding.Status == account.Known && finding.Account.Name == owner:
		default:
			t.Fatalf("%s at %d: %s is %+v, want that of %q", where, h.revision(), key, finding, owner)
		}
	}
}

// Guards against accounts that depend on the order in which documents arrive, and against a document from before the withdrawal of a
// key that brings the key back.
func TestAccountsAreThoseOfTheNewestDocuments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newAccountHistory()
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			h.write(rapid.SampledFrom(testAccounts).Draw(t, "account"), drawKeys(t))
		}
		table := NewTable("config/", 0)
		arrivals := append(slices.Clone(h.changes), rapid.SliceOf(rapid.SampledFrom(h.changes)).Draw(t, "repeated")...)
		for _, document := range rapid.Permutation(arrivals).Draw(t, "order") {
			table.Apply([]Document{document})
			h.checkAccounts(t, table, "on the way")
		}
		table.Advance(h.revision())
		h.checkDecided(t, table, "complete")
		before := table.Snapshot().Accounts
		table.Apply(arrivals)
		if table.Snapshot().Accounts != before {
			t.Fatal("documents that the table has had change the accounts")
		}
	})
}

// Guards against a table that calls a key unknown while the account of the key is on its way, in any mix of watches, lists, documents
// out of order and truncated pulls in any direction.
func TestPartialCopiesDoNotCallKeysUnknown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newAccountHistory()
		tables := make([]*Table, 3)
		for i := range tables {
			tables[i] = NewTable("config/", 2)
		}
		index := func(t *rapid.T) int { return rapid.IntRange(0, len(tables)-1).Draw(t, "table") }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				h.write(rapid.SampledFrom(testAccounts).Draw(t, "account"), drawKeys(t))
			},
			"watch": func(t *rapid.T) { h.watch(tables[index(t)]) },
			"list":  func(t *rapid.T) { tables[index(t)].ApplyList(h.list(), h.revision()) },
			"learn": func(t *rapid.T) {
				if len(h.changes) > 0 {
					tables[index(t)].Apply([]Document{rapid.SampledFrom(h.changes).Draw(t, "change")})
				}
			},
			"replace": func(t *rapid.T) { tables[index(t)] = NewTable("config/", 2) },
			"pull": func(t *rapid.T) {
				pull(tables[index(t)], tables[index(t)], rapid.IntRange(1, 300).Draw(t, "bytes"))
			},
			"": func(t *rapid.T) {
				for i, table := range tables {
					h.checkAccounts(t, table, fmt.Sprint("table ", i))
				}
			},
		})
		if h.revision() == 0 {
			return
		}
		h.watch(tables[0])
		pull(tables[1], tables[0], 1<<20)
		h.checkDecided(t, tables[0], "after a watch")
		h.checkDecided(t, tables[1], "after a pull")
	})
}

func (h *accountHistory) watch(table *Table) {
	var documents []Document
	for _, change := range h.changes {
		if change.Revision > table.Complete() {
			documents = append(documents, change)
		}
	}
	table.Apply(documents)
	table.Advance(h.revision())
}
