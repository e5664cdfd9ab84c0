package operator_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/operator"
	"github.com/sardinereach/sardinereach/internal/operator/fakefleet"
	"github.com/sardinereach/sardinereach/internal/statement"
	"github.com/sardinereach/sardinereach/internal/store"
)

// hashOf returns the hash of an API key in the language.
func hashOf(key string) string { return statement.FormatKeyHash(declaration.HashKey(key)) }

// neighborOf returns the name of another account of the same group.
func neighborOf(name model.AccountName) model.AccountName {
	for i := 0; ; i++ {
		other := model.AccountName(fmt.Sprint("neighbor-", i))
		if other != name && declaration.GroupOf(other) == declaration.GroupOf(name) {
			return other
		}
	}
}

// strangerOf returns the name of an account of another group.
func strangerOf(name model.AccountName) model.AccountName {
	for i := 0; ; i++ {
		other := model.AccountName(fmt.Sprint("stranger-", i))
		if declaration.GroupOf(other) != declaration.GroupOf(name) {
			return other
		}
	}
}

// keyCounts returns the number of keys of each stored account, in the order of their names, such as "a:2 b:0".
func keyCounts(t *testing.T, fleet *fakefleet.Fleet) string {
	t.Helper()
	var counts []string
	for group := range declaration.AccountGroups {
		stored, err := fleet.ReadAccounts(context.Background(), group)
		if err != nil {
			t.Fatal(err)
		}
		for _, account := range stored.Group.Accounts {
			counts = append(counts, fmt.Sprintf("%s:%d", account.Name, len(account.KeyHashes)))
		}
	}
	return strings.Join(counts, " ")
}

// Guards against a change of one account that reverts a concurrent change of another account of its group.
func TestConcurrentChangesOfOneGroupAreKept(t *testing.T) {
	other := neighborOf("a")
	for text, want := range map[string]string{
		"declare account a { rank 2; }":                "a:0",
		"add key " + hashOf("k") + " to account a":     "a:1",
		"add key " + hashOf("taken") + " to account a": "",
	} {
		fleet := fakefleet.New()
		server := newServer(fleet)
		mustExecute(t, server, "declare account a { rank 1; }")
		fleet.BeforeNextWrite(func() {
			mustExecute(t, newServer(fleet), fmt.Sprintf("declare account %s { key %s; }", other, hashOf("taken")))
		})
		_, err := execute(server, text)
		if want == "" {
			expectCode(t, err, connect.CodeFailedPrecondition, "line 1 column 50", "account a", string(other))
			continue
		}
		if got := keyCounts(t, fleet); err != nil || got != want+" "+string(other)+":1" {
			t.Errorf("%s: %v, accounts %q", text, err, got)
		}
	}
}

// Guards against the second of two operators overwriting a change of the same account without an error, and against commands on single
// keys that conflict although they concern different keys.
func TestConcurrentChangesOfOneAccount(t *testing.T) {
	fleet := fakefleet.New()
	server := newServer(fleet)
	mustExecute(t, server, "declare account a { key "+hashOf("1")+"; }")
	addOther := func() { mustExecute(t, newServer(fleet), "add key "+hashOf("2")+" to account a") }
	fleet.BeforeNextWrite(addOther)
	change := applyOne(t, server, "declare account a { key "+hashOf("1")+"; rank 1; }")
	if change.Outcome != operator.OutcomeConflict || !strings.Contains(change.Error, "another change of account a came first") {
		t.Errorf("change %v, want a conflict", change)
	}
	fleet.BeforeNextWrite(func() { mustExecute(t, newServer(fleet), "withdraw key "+hashOf("1")+" from account a") })
	mustExecute(t, server, "add key "+hashOf("3")+" to account a")
	if got := keyCounts(t, fleet); got != "a:2" {
		t.Errorf("accounts %q, want the keys 2 and 3 of a", got)
	}
}

// Guards against an outdated file that withdraws a key again or brings it back, and against one whose digest does not survive an export.
func TestExpectedDigest(t *testing.T) {
	fleet := fakefleet.New()
	server := newServer(fleet)
	mustExecute(t, server, "declare account a { key "+hashOf("1")+"; rate 1.5 burst 1e6; rank 0; }")
	exported, err := server.Export(context.Background(), connect.NewRequest(&operatorv1.ExportRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	text := exported.Msg.GetDeclarations()
	if change := applyOne(t, server, text); change.Outcome != operator.OutcomeUnchanged {
		t.Fatalf("export applied again: %v", change)
	}
	mustExecute(t, server, "withdraw key "+hashOf("1")+" from account a")
	change := applyOne(t, server, text)
	if change.Outcome != operator.OutcomeConflict || keyCounts(t, fleet) != "a:0" || fleet.Writes() != 2 {
		t.Errorf("outdated export: %v, accounts %q", change, keyCounts(t, fleet))
	}
	change = applyOne(t, server, "declare account b at digest 0123456789ab { }")
	if change.Outcome != operator.OutcomeConflict || !strings.Contains(change.Error, "has digest none") {
		t.Errorf("absent account: %v", change)
	}
}

// Guards against an account that goes into force with a key of another account, against the refusal of the rest of the file, and against
// the refusal of a key that was withdrawn elsewhere while this node still sees it.
func TestKeyOfAnotherAccountIsRefused(t *testing.T) {
	for _, other := range []model.AccountName{neighborOf("a"), strangerOf("a")} {
		fleet := fakefleet.New()
		server := newServer(fleet)
		mustExecute(t, server, "declare account a { key "+hashOf("1")+"; }")
		block := fmt.Sprintf("declare account %s { key %s; }", other, hashOf("1"))
		answer := apply(t, server, &operatorv1.ApplyRequest{Declarations: block + " declare account c { }", Force: true})
		refused, created := answer.Changes[0], answer.Changes[1]
		if refused.Outcome != operator.OutcomeRejected || refused.Key != 1 || !strings.Contains(refused.Error, string(other)+" is a key of account a") {
			t.Errorf("key of a: %v", refused)
		}
		counts := keyCounts(t, fleet)
		if created.Outcome != operator.OutcomeCreated || !strings.Contains(counts, "c:0") || !strings.Contains(counts, "a:1") {
			t.Errorf("the rest of the file: %v, accounts %q", created, counts)
		}
		_, err := execute(server, block)
		expectCode(t, err, connect.CodeFailedPrecondition, fmt.Sprintf("line 1 column %d:", strings.Index(block, "sha256")+1), "account a")
		fleet.HideAccounts()
		mustExecute(t, server, "withdraw key "+hashOf("1")+" from account a")
		mustExecute(t, server, block)
	}
}

// Guards against accounts that lose keys, or are removed, without the operator's confirmation.
func TestAccountDangersNeedForce(t *testing.T) {
	fleet := fakefleet.New()
	server := newServer(fleet)
	mustExecute(t, server, "declare account a { key "+hashOf("1")+"; }")
	text := "declare account a { }"
	if change := applyOne(t, server, text); change.Outcome != operator.OutcomeRejected || len(change.Warnings) != 1 {
		t.Errorf("dropped key: %v", change)
	}
	_, err := execute(server, "remove account a")
	expectCode(t, err, connect.CodeFailedPrecondition, "line 1 column 16", "keys (1)", "force")
	dry := apply(t, server, &operatorv1.ApplyRequest{Declarations: text, Force: true, DryRun: true})
	if dry.Changes[0].Outcome != operator.OutcomeChanged || fleet.Writes() != 1 {
		t.Errorf("dry run: %v, %d writes", dry, fleet.Writes())
	}
	forced := apply(t, server, &operatorv1.ApplyRequest{Declarations: text, Force: true})
	if forced.Changes[0].Outcome != operator.OutcomeChanged || keyCounts(t, fleet) != "a:0" {
		t.Errorf("forced: %v", forced)
	}
}

// Guards against the removal of the last account of a group that leaves the account in force, or that a later change cannot follow.
func TestRemovalOfTheLastAccountEmptiesItsGroup(t *testing.T) {
	fleet := fakefleet.New()
	server := newServer(fleet)
	mustExecute(t, server, "declare account a { key "+hashOf("1")+"; }")
	mustExecute(t, server, "remove account a force")
	history := fleet.AccountHistory()
	last := history[len(history)-1]
	if len(last.Group.Accounts) != 0 || last.Group.Accounts == nil || keyCounts(t, fleet) != "" {
		t.Errorf("stored %+v", last)
	}
	_, err := execute(server, "remove account a")
	expectCode(t, err, connect.CodeNotFound, `account "a" is not known`)
	mustExecute(t, server, "declare account a at digest none { }")
}

// Guards against a change that is reported as failed, or applied twice, when responses of the store are lost.
func TestLostResponsesOfAccountsAreResolved(t *testing.T) {
	const after, before, down = fakefleet.ResponseLostAfterWrite, fakefleet.ResponseLostBeforeWrite, fakefleet.Unavailable
	for name, faults := range map[string][]fakefleet.Fault{
		"took effect": {after}, "took no effect": {before}, "then down": {after, down}, "every response lost": {after, before, before, before, before},
	} {
		synctest.Test(t, func(t *testing.T) {
			fleet := fakefleet.New()
			server := newServer(fleet)
			mustExecute(t, server, "declare account a { key "+hashOf("1")+"; }")
			for i, text := range []string{"add key " + hashOf("2") + " to account a", "withdraw key " + hashOf("1") + " from account a", "remove account a force"} {
				fleet.Inject(faults...)
				if _, err := execute(server, text); err != nil || fleet.Writes() != i+2 {
					t.Errorf("%s: %s: %v, %d writes", name, text, err, fleet.Writes())
				}
			}
		})
	}
}

// Guards against a key that is added again after another operator has withdrawn it, because the response to the addition was lost.
func TestLostResponseDoesNotRevertAWithdrawal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := fakefleet.New()
		server := newServer(fleet)
		mustExecute(t, server, "declare account a { }")
		fleet.Inject(fakefleet.ResponseLostAfterWrite)
		done := make(chan struct{})
		go func() {
			defer close(done)
			synctest.Wait()
			mustExecute(t, operator.NewServer(fleet, operator.Options{Node: "n2"}), "withdraw key "+hashOf("1")+" from account a")
		}()
		_, err := execute(server, "add key "+hashOf("1")+" to account a")
		<-done
		expectCode(t, err, connect.CodeAborted, "may have been in force")
		if got := keyCounts(t, fleet); got != "a:0" {
			t.Errorf("accounts %q, want the key withdrawn", got)
		}
	})
}

// Guards against a failure of the store or a read-only configuration that counts as success, or whose error is not shown.
func TestAccountsThatCannotBeWritten(t *testing.T) {
	fleet := fakefleet.New()
	server := newServer(fleet)
	fleet.FailAccountWrites(errors.New("the configuration is read-only"))
	change := applyOne(t, server, "declare account a { }")
	if change.Outcome != operator.OutcomeRejected || !strings.Contains(change.Error, "read-only") {
		t.Errorf("change %v", change)
	}
	_, err := execute(server, "declare account a { }")
	expectCode(t, err, connect.CodeUnknown, "read-only")
	fleet.FailAccountWrites(nil)
	fleet.Inject(fakefleet.Unavailable)
	_, err = execute(server, "declare account a { }")
	expectCode(t, err, connect.CodeUnavailable, "unavailable")
	if fleet.Writes() != 0 {
		t.Errorf("%d writes", fleet.Writes())
	}
}

// Guards against an account that this build does not understand and that a change of another account, or an export, alters.
func TestUnsupportedAccountsAreKept(t *testing.T) {
	fleet := fakefleet.New()
	server := newServer(fleet)
	other := neighborOf("a")
	fleet.PutAccounts(declaration.GroupOf("a"), declaration.AccountGroup{Accounts: []declaration.Account{{Name: other, Unsupported: "later"}}})
	mustExecute(t, server, "declare account a { }")
	_, err := execute(server, fmt.Sprintf("remove account %s force", other))
	expectCode(t, err, connect.CodeFailedPrecondition, "does not support")
	if change := applyOne(t, server, fmt.Sprintf("declare account %s { }", other)); change.Outcome != operator.OutcomeRejected {
		t.Errorf("change %v", change)
	}
	stored, _ := fleet.ReadAccounts(context.Background(), declaration.GroupOf("a"))
	if len(stored.Group.Accounts) != 2 || stored.Group.Accounts[1].Unsupported != "later" {
		t.Errorf("stored %+v", stored)
	}
	exported, err := server.Export(context.Background(), connect.NewRequest(&operatorv1.ExportRequest{}))
	if err != nil || strings.Count(exported.Msg.GetDeclarations(), "\ndeclare account") != 1 {
		t.Errorf("export %v, %v", exported, err)
	}
}

// Guards against changes of accounts without an event, and against events and tables that contain a key or a whole hash.
func TestAccountsLeaveNoTraceOfKeys(t *testing.T) {
	sink := new(eventRecorder)
	fleet := fakefleet.New()
	server := operator.NewServer(fleet, operator.Options{Node: "n1", Events: events.New(sink, time.Now)})
	applyOne(t, server, "declare account a { key "+hashOf("1")+"; }")
	applyOne(t, server, "declare account a at digest none { }")
	mustExecute(t, server, "withdraw key "+hashOf("1")+" from account a")
	mustExecute(t, server, "add key "+hashOf("1")+" to account a")
	if got := strings.Join(sink.names, " "); got != "accounts_changed apply_in_force accounts_conflict accounts_changed operator_command accounts_changed operator_command" {
		t.Errorf("events %q", got)
	}
	_, err := execute(server, "add key s3cret-key to account a")
	expectCode(t, err, connect.CodeInvalidArgument, "line 1 column 9")
	shown := sink.text + err.Error()
	answer := mustExecute(t, server, "show accounts columns account, keys, key_ids, digest, state")
	shown += fmt.Sprint(answer.Rows)
	hash := strings.TrimPrefix(hashOf("1"), "sha256:")
	if strings.Contains(shown, hash) || strings.Contains(shown, "s3cret") || !strings.Contains(shown, hash[:6]) {
		t.Errorf("shown: %s", shown)
	}
}

// Guards against accounts whose shared key is shown as in order.
func TestSharedKeysAreShown(t *testing.T) {
	fleet := fakefleet.New()
	hashes := []declaration.KeyHash{declaration.HashKey("1")}
	other := neighborOf("a")
	fleet.PutAccounts(declaration.GroupOf("a"), declaration.AccountGroup{
		Accounts: []declaration.Account{{Name: "a", KeyHashes: hashes}, {Name: other, KeyHashes: hashes}},
	})
	mustExecute(t, newServer(fleet), "declare account d { key "+hashOf("2")+"; }")
	answer := mustExecute(t, newServer(fleet), "show accounts where state = shared-key columns account")
	if len(answer.Rows) != 2 || answer.Rows[0].Cells[0] != "a" || answer.Rows[1].Cells[0] != string(other) {
		t.Errorf("rows %v", answer.Rows)
	}
}

// Guards against a document of accounts under another key than the nodes watch, and against errors that the resolution of unknown
// outcomes would not recognize.
func TestAccountDocuments(t *testing.T) {
	ctx := context.Background()
	backing := new(oneKeyStore)
	documents := operator.Documents{Store: backing}
	if stored, err := documents.ReadAccounts(ctx, 7); err != nil || stored.Revision != 0 {
		t.Errorf("absent group: %+v, %v", stored, err)
	}
	group := &declaration.AccountGroup{Accounts: []declaration.Account{{Name: "a"}}, ChangeID: "n1.1.1"}
	revision, err := documents.SwapAccounts(ctx, 7, 0, group)
	if err != nil || revision != 1 || backing.kv.Key != config.AccountKey(7) {
		t.Fatalf("revision %d, key %q, %v", revision, backing.kv.Key, err)
	}
	stored, err := documents.ReadAccounts(ctx, 7)
	if err != nil || stored.Revision != 1 || stored.Group.ChangeID != "n1.1.1" || len(stored.Group.Accounts) != 1 {
		t.Errorf("stored %+v, %v", stored, err)
	}
	var conflict *store.ConflictError
	if _, err := documents.SwapAccounts(ctx, 7, 0, group); !errors.As(err, &conflict) {
		t.Errorf("second creation: %v", err)
	}
	backing.kv.Value = []byte(`{"accounts":[{"name":"a","later":true}]}`)
	if _, err := documents.ReadAccounts(ctx, 7); err == nil {
		t.Error("a group with an unknown field is read for a change")
	}
}
