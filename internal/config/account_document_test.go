package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/account"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

func status(table *Table, key string) account.Status {
	return table.Snapshot().Accounts.Find(declaration.HashKey(key)).Status
}

// Guards against a key that stays in use after its withdrawal because the document that withdraws it cannot be read, against 401 for
// keys that such a document may have, and against other groups that are lost with it.
func TestInvalidGroupLeavesNoAccountsOfItInForce(t *testing.T) {
	for name, invalid := range map[string]Document{
		"not JSON":          {Key: AccountKey(48), Value: []byte(`{`)},
		"unknown field":     {Key: AccountKey(48), Value: []byte(`{"accounts":[{"name":"cedar"}],"later":1}`)},
		"huge":              {Key: AccountKey(48), Value: []byte(`{"accounts":` + strings.Repeat("[", 1<<20))},
		"more groups":       {Key: AccountKey(64), Value: []byte(`{"accounts":[]}`)},
		"no number":         {Key: AccountPrefix + "048", Value: []byte(`{"accounts":[]}`)},
		"no group":          {Key: AccountPrefix + "x", Value: []byte(`{"accounts":[]}`)},
		"hidden keys":       {Key: AccountKey(48), Value: []byte(`{"accounts":[{"name":"cedar","key_hashes":7}]}`)},
		"group of groups":   {Key: AccountKey(48) + "/1", Value: []byte(`{"accounts":[]}`)},
		"text for accounts": {Key: AccountKey(48), Value: []byte(`{"accounts":"none"}`)},
	} {
		table := NewTable("config/", 0)
		table.ApplyList([]Document{groupDocument("cedar", []string{"k0"}, 1), groupDocument("ash", []string{"k1"}, 2)}, 2)
		if status(table, "k0") != account.Known || status(table, "k9") != account.Unknown {
			t.Fatal("the accounts before are not in force")
		}
		invalid.Revision = 3
		table.Apply([]Document{invalid})
		table.Advance(3)
		if invalid.Key == AccountKey(48) && status(table, "k0") != account.Undecided {
			t.Errorf("%s: the key of the group is in state %d", name, status(table, "k0"))
		}
		if status(table, "k1") != account.Known || status(table, "k9") != account.Undecided {
			t.Errorf("%s: the key of another group is in state %d, an unknown one in %d", name, status(table, "k1"), status(table, "k9"))
		}
		if rejection, ok := table.Snapshot().Rejected[invalid.Key]; name != "hidden keys" && (!ok || rejection.ActiveRevision != 0) {
			t.Errorf("%s: rejections %v", name, table.Snapshot().Rejected)
		}
		table.Apply([]Document{{Key: invalid.Key, Revision: 4, Deleted: true}})
		table.Advance(4)
		if status(table, "k9") != account.Unknown {
			t.Errorf("%s: unknown keys stay undecided after its deletion", name)
		}
	}
}

// Guards against an account that is in force by a document of another group, whose deletion or change does not reach it.
func TestAccountOfAnotherGroupIsUnsupported(t *testing.T) {
	table := NewTable("config/", 0)
	misplaced := groupDocument("ash", []string{"k0"}, 1)
	misplaced.Key = AccountKey(48)
	table.ApplyList([]Document{misplaced, groupDocument("ash", []string{"k1"}, 2)}, 2)
	if status(table, "k0") != account.Undecided || status(table, "k1") != account.Known || status(table, "k9") != account.Unknown {
		t.Errorf("states %d, %d, %d", status(table, "k0"), status(table, "k1"), status(table, "k9"))
	}
	if group := table.Snapshot().Accounts.Group(48); len(group.Unsupported()) != 1 || !strings.Contains(group.Unsupported()[0].Unsupported, "54") {
		t.Errorf("unsupported accounts %v", group.Unsupported())
	}
}

// Guards against accounts that are built again although nothing or something else has changed.
func TestAccountsStayTheSameUntilTheyChange(t *testing.T) {
	table := NewTable("config/", 0)
	table.ApplyList([]Document{groupDocument("ash", []string{"k0"}, 1)}, 1)
	first := table.Snapshot().Accounts
	table.Advance(2)
	table.Apply([]Document{serviceDocument("a", 3)})
	table.Advance(3)
	if table.Snapshot().Accounts != first {
		t.Error("a change of a service, or none, has replaced the accounts")
	}
	held := first.ByName("ash")
	table.Apply([]Document{groupDocument("ash", []string{"k0"}, 4), groupDocument("elm", []string{"k1"}, 5)})
	table.Advance(5)
	second := table.Snapshot().Accounts
	if second == first || second.ByName("ash") != held || second.ByName("elm") == nil {
		t.Error("the account that is the same was replaced, or the new one is missing")
	}
}

// BenchmarkAccountChange reports the time to apply and publish a change of one key, by number of accounts with ten keys each.
func BenchmarkAccountChange(b *testing.B) {
	for _, count := range []int{80, 5_000} {
		b.Run(fmt.Sprintf("accounts=%d", count), func(b *testing.B) {
			table := NewTable("config/", 0)
			values := benchGroupValues(count)
			var documents []Document
			for number, value := range values {
				documents = append(documents, Document{Key: AccountKey(number), Value: value, Revision: 1})
			}
			table.ApplyList(documents, 1)
			other := benchGroupValues(count + declaration.AccountGroups)
			for revision := int64(2); b.Loop(); revision++ {
				value := values[0]
				if revision%2 == 0 {
					value = other[0]
				}
				table.Apply([]Document{{Key: AccountKey(0), Value: value, Revision: revision}})
				table.Advance(revision)
				table.Snapshot()
			}
		})
	}
}

// benchGroupValues returns the encoded groups of the accounts.
func benchGroupValues(count int) [][]byte {
	groups := make([]declaration.AccountGroup, declaration.AccountGroups)
	for i := range count {
		a := declaration.Account{Name: model.AccountName(fmt.Sprintf("account-%06d", i))}
		for key := range 10 {
			a.KeyHashes = append(a.KeyHashes, declaration.HashKey(fmt.Sprint(i, "/", key)))
		}
		group := &groups[declaration.GroupOf(a.Name)]
		group.Accounts = append(group.Accounts, a)
	}
	values := make([][]byte, len(groups))
	for number := range groups {
		value, err := groups[number].Encode()
		if err != nil {
			panic(err)
		}
		values[number] = value
	}
	return values
}
