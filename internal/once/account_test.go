package once

import (
	"context"
	"testing"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against an idempotency key of one account that returns, blocks or reveals a request of another one.
func TestAccountsHaveTheirOwnKeys(t *testing.T) {
	f, ctx := newFixture(), context.Background()
	for _, account := range []string{"", "a1", "a2"} {
		result, err := f.nodeA.BeginFor(ctx, model.AccountName(account), testService, "k", 1)
		if err != nil || result.Grant == nil {
			t.Fatalf("account %q: %+v, %v; want a grant", account, result, err)
		}
		result.Grant.BeginDispatch()
		if err := result.Grant.Record(ctx, &admission.Answer{Status: 200, Body: []byte("of " + account)}); err != nil {
			t.Fatal(err)
		}
	}
	for _, account := range []string{"", "a1", "a2"} {
		result, err := f.nodeB.BeginFor(ctx, model.AccountName(account), testService, "k", 1)
		if err != nil || result.Replay == nil || string(result.Replay.Answer.Body) != "of "+account {
			t.Errorf("account %q: %+v, %v; want its own answer", account, result, err)
		}
		if _, err := f.nodeB.BeginFor(ctx, model.AccountName(account), testService, "k", 2); err == nil || err.Reason != verdict.KeyReused {
			t.Errorf("account %q, another request: %v", account, err)
		}
	}
}

// Guards against claims of earlier builds, which have no account, that are not found any more.
func TestClaimsWithoutAccountKeepTheirKeys(t *testing.T) {
	if got := claimHash("", "k"); got != KeyHash("k") || got != "8254c329a92850f6d539dd376f4816ee" {
		t.Errorf("key %s", got)
	}
}
