package operator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/operator"
	"github.com/sardinereach/sardinereach/internal/operator/fakefleet"
)

const keysByOperator = 3

// keyOwner is an operator that adds and withdraws API keys which no other operator changes.
type keyOwner struct {
	name   string
	server *operator.Server
	random *rand.Rand
	// valid has the keys by whether they are valid; a key whose last change has an uncertain outcome is left out.
	valid map[string]bool
}

// change makes one change and records its outcome.
func (o *keyOwner) change(account model.AccountName) {
	key := fmt.Sprintf("%s-%d", o.name, o.random.IntN(keysByOperator))
	command, valid := "add key %s to account %s", true
	if o.random.IntN(2) == 0 {
		command, valid = "withdraw key %s from account %s", false
	}
	known, certain := o.valid[key]
	_, err := execute(o.server, fmt.Sprintf(command, hashOf(key), account))
	switch {
	case err == nil:
		o.valid[key] = valid
	case !valid && certain && !known:
		// The key of a withdrawal did not exist.
	default:
		delete(o.valid, key)
	}
}

// Guards against concurrent operators and lost responses that together lose an acknowledged change of a key, bring a withdrawn key back,
// or apply a write twice.
func TestConcurrentKeyChanges(t *testing.T) {
	accounts := []model.AccountName{"a", neighborOf("a"), strangerOf("a")}
	certain := 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			fleet := fakefleet.New()
			server := newServer(fleet)
			for _, account := range accounts {
				mustExecute(t, server, fmt.Sprintf("declare account %s { }", account))
			}
			owners := runKeyOwners(fleet, accounts, seed)
			for i, owner := range owners {
				certain += len(owner.valid)
				checkKeys(t, seed, fleet, accounts[i%len(accounts)], owner)
			}
			checkAccountHistory(t, seed, fleet)
		})
	}
	if certain < 100 {
		t.Errorf("only %d keys with a certain outcome, too few for the checks", certain)
	}
}

func runKeyOwners(fleet *fakefleet.Fleet, accounts []model.AccountName, seed uint64) []*keyOwner {
	var group sync.WaitGroup
	owners := make([]*keyOwner, operators)
	for number := range owners {
		name := fmt.Sprint("n", number+2)
		owner := &keyOwner{
			name: name, server: operator.NewServer(fleet, operator.Options{Node: model.NodeID(name), Incarnation: 1}),
			random: rand.New(rand.NewPCG(seed, uint64(number))), valid: make(map[string]bool),
		}
		owners[number] = owner
		group.Go(func() {
			for range changesByOperator {
				if owner.random.IntN(3) == 0 {
					fleet.Inject(fakefleet.Fault(owner.random.IntN(3)))
				}
				owner.change(accounts[number%len(accounts)])
			}
		})
	}
	group.Wait()
	return owners
}

func checkKeys(t *testing.T, seed uint64, fleet *fakefleet.Fleet, name model.AccountName, owner *keyOwner) {
	stored, err := fleet.ReadAccounts(context.Background(), declaration.GroupOf(name))
	if err != nil {
		t.Fatal(err)
	}
	index := slices.IndexFunc(stored.Group.Accounts, func(a declaration.Account) bool { return a.Name == name })
	for key, want := range owner.valid {
		if got := slices.Contains(stored.Group.Accounts[index].KeyHashes, declaration.HashKey(key)); got != want {
			t.Errorf("seed %d: key %s of account %s valid %v, want %v", seed, key, name, got, want)
		}
	}
}

func checkAccountHistory(t *testing.T, seed uint64, fleet *fakefleet.Fleet) {
	changes := make(map[string]int64)
	for _, stored := range fleet.AccountHistory() {
		if first, ok := changes[stored.Group.ChangeID]; ok {
			t.Errorf("seed %d: change %s took effect at revisions %d and %d", seed, stored.Group.ChangeID, first, stored.Revision)
		}
		changes[stored.Group.ChangeID] = stored.Revision
	}
	if len(changes) < 20 {
		t.Errorf("seed %d: only %d writes, too few for the checks", seed, len(changes))
	}
}
