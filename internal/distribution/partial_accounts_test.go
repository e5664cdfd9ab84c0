package distribution

import (
	"testing"

	"github.com/sardinereach/sardinereach/internal/account"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/declaration"
)

// Guards against a node that calls a key unknown while the account of the key is in a later part of a peer's documents.
func TestAccountsArePartialBetweenThePartsOfAPull(t *testing.T) {
	network := directPuller{}
	responder, caller := newDistributor(t, "a", 1, network), newDistributor(t, "b", 1, network)
	responder.options.MaxPullBytes = 1
	group := declaration.AccountGroup{Accounts: []declaration.Account{{Name: "ash", KeyHashes: []declaration.KeyHash{declaration.HashKey("k")}}}}
	value, err := group.Encode()
	if err != nil {
		t.Fatal(err)
	}
	documents := smallServices(t, "/v1", 1)[:1]
	documents = append(documents, config.Document{Key: config.AccountKey(declaration.GroupOf("ash")), Value: value, Revision: 2})
	responder.applyDocuments(documents, delivery{})
	responder.advance(ConfigPrefix, 2)
	for i, want := range []account.Status{account.Undecided, account.Known} {
		if _, err := caller.pullDocuments(t.Context(), "a"); err != nil {
			t.Fatal(err)
		}
		accounts := caller.Snapshot().Config.Accounts
		if finding := accounts.Find(declaration.HashKey("k")); finding.Status != want || caller.complete(ConfigPrefix) != int64(i+1) {
			t.Errorf("complete up to %d, the key is %+v, want %d", caller.complete(ConfigPrefix), finding, want)
		}
		if accounts.IsDecided() != (i == 1) {
			t.Errorf("after part %d, decided is %t", i+1, accounts.IsDecided())
		}
	}
}
