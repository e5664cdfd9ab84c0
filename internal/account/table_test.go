package account

import (
	"maps"
	"slices"
	"testing"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// accountWith returns an account with the keys.
func accountWith(name string, keys ...string) declaration.Account {
	a := declaration.Account{Name: model.AccountName(name)}
	for _, key := range keys {
		a.KeyHashes = append(a.KeyHashes, declaration.HashKey(key))
	}
	return a
}

func unsupported(a declaration.Account) declaration.Account {
	a.MarkUnsupported(errOdd)
	return a
}

// tableOf returns the table of the accounts, each group from one document.
func tableOf(isPartial bool, accounts ...declaration.Account) *Table {
	groups := map[int]*Group{}
	for number := range declaration.AccountGroups {
		var members []declaration.Account
		for _, a := range accounts {
			if declaration.GroupOf(a.Name) == number {
				members = append(members, a)
			}
		}
		groups[number] = NewGroup(members, nil)
	}
	return (*Table)(nil).Replaced(groups, isPartial)
}

// Guards against a key that is taken for that of an account although another one has it, that is called unknown although an account
// that the table lacks or does not understand may have it, or that is lost beside such a one.
func TestFind(t *testing.T) {
	hidden := unsupported(accountWith("hidden"))
	some := unsupported(accountWith("some", "s"))
	some.KeysUnknown = true
	a, b := accountWith("a", "1", "2", "2"), accountWith("b", "2", "3")
	for name, c := range map[string]struct {
		table *Table
		// want are the states of the keys 1 (of a alone), 2 (of a and b), s (of an unsupported account) and 9 (of nobody).
		want [4]Status
	}{
		"no table":          {nil, [4]Status{Undecided, Undecided, Undecided, Undecided}},
		"no accounts":       {tableOf(false), [4]Status{Unknown, Unknown, Unknown, Unknown}},
		"whole":             {tableOf(false, a, b), [4]Status{Known, Unknown, Unknown, Unknown}},
		"partial":           {tableOf(true, a, b), [4]Status{Known, Undecided, Undecided, Undecided}},
		"unsupported":       {tableOf(false, a, b, unsupported(accountWith("u", "s"))), [4]Status{Known, Unknown, Undecided, Unknown}},
		"unsupported twice": {tableOf(false, a, unsupported(b)), [4]Status{Known, Undecided, Unknown, Unknown}},
		"unknown keys":      {tableOf(false, a, b, hidden), [4]Status{Known, Undecided, Undecided, Undecided}},
		"some keys known":   {tableOf(false, a, b, some), [4]Status{Known, Undecided, Undecided, Undecided}},
	} {
		for i, key := range []string{"1", "2", "s", "9"} {
			finding := c.table.Find(declaration.HashKey(key))
			if finding.Status != c.want[i] || (finding.Account != nil) != (finding.Status == Known) {
				t.Errorf("%s: key %s is %+v, want %d", name, key, finding, c.want[i])
			}
		}
	}
	keys := tableOf(false, a, b, unsupported(accountWith("c", "1"))).SharedKeys()
	if len(keys) != 2 || keys[0].String() != "a,b" || keys[1].String() != "a,c" {
		t.Errorf("shared keys %v, want those of a and b and of a and c", keys)
	}
}

// Guards against a change that modifies the table before, leaves a withdrawn key in use, or rebuilds what did not change.
func TestReplacedSharesWhatDidNotChange(t *testing.T) {
	before := tableOf(false, accountWith("a", "1", "2"), accountWith("b", "3"))
	number := declaration.GroupOf("a")
	other := accountWith("other", "4")
	group := NewGroup([]declaration.Account{accountWith("a", "1"), other}, before.Group(number))
	after := before.Replaced(map[int]*Group{number: group}, false)
	if f := after.Find(declaration.HashKey("2")); f.Status != Unknown {
		t.Errorf("the withdrawn key is %+v", f)
	}
	if f := before.Find(declaration.HashKey("2")); f.Status != Known {
		t.Errorf("the table before has changed: %+v", f)
	}
	again := NewGroup([]declaration.Account{other, accountWith("a", "1")}, group)
	if !slices.Equal(again.Accounts(), group.Accounts()) {
		t.Error("accounts that are the same were replaced")
	}
	if same := after.Replaced(map[int]*Group{number: again}, false); same.index != after.index {
		t.Error("the index was built again")
	}
	none := after.Replaced(map[int]*Group{number: nil, declaration.GroupOf("b"): nil}, false)
	for _, key := range []string{"1", "3", "4"} {
		if f := none.Find(declaration.HashKey(key)); f.Status != Unknown {
			t.Errorf("key %s of a removed group is %+v", key, f)
		}
	}
}

// Guards against accounts that are lost between the groups.
func TestNewTableHasAllAccounts(t *testing.T) {
	accounts := map[model.AccountName]*declaration.Account{}
	for _, name := range []string{"a", "b", "c", "d"} {
		a := accountWith(name, name+"-key")
		accounts[a.Name] = &a
	}
	table := NewTable(accounts)
	found := map[model.AccountName]bool{}
	for a := range table.All() {
		found[a.Name] = table.ByName(a.Name) == a && table.Find(declaration.HashKey(string(a.Name)+"-key")).Account == a
	}
	if !maps.Equal(found, map[model.AccountName]bool{"a": true, "b": true, "c": true, "d": true}) || table.ByName("e") != nil {
		t.Errorf("found %v", found)
	}
}
