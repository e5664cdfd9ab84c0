package operator_test

import (
	"strings"
	"testing"
	"testing/synctest"

	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/internal/operator"
	"github.com/sardinereach/sardinereach/internal/operator/fakefleet"
)

// Guards against a change that is reported as failed, or applied twice, when responses of the store are lost.
func TestLostResponsesAreResolved(t *testing.T) {
	const after, before, down = fakefleet.ResponseLostAfterWrite, fakefleet.ResponseLostBeforeWrite, fakefleet.Unavailable
	cases := map[string][]fakefleet.Fault{
		"took effect":                    {after},
		"took no effect":                 {before},
		"lost twice, took effect":        {after, before},
		"no effect, then effect":         {before, after},
		"store down after lost response": {after, down},
		"every response lost":            {after, before, before, before, before},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := fakefleet.New()
				fleet.Inject(faults...)
				change := applyOne(t, newServer(fleet), proofroom)
				if change.Outcome != operator.OutcomeCreated || change.Revision != 1 || fleet.Writes() != 1 {
					t.Errorf("outcome %v, %d writes, want created at revision 1 by 1 write", change, fleet.Writes())
				}
			})
		})
	}
}

// Guards against reporting success for a write that never took effect.
func TestUnresolvedWriteIsNotSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := fakefleet.New()
		fault := fakefleet.ResponseLostBeforeWrite
		fleet.Inject(fault, fault, fault, fault, fault)
		change := applyOne(t, newServer(fleet), proofroom)
		if change.Outcome != operator.OutcomeRejected || !strings.Contains(change.Error, "outcome unknown") {
			t.Errorf("outcome %v, want rejected with an unknown outcome", change)
		}
	})
}

// Guards against retrying a write that the store refused, as if its outcome were unknown.
func TestUnavailableStoreRejects(t *testing.T) {
	fleet := fakefleet.New()
	fleet.Inject(fakefleet.Unavailable)
	change := applyOne(t, newServer(fleet), proofroom)
	if change.Outcome != operator.OutcomeRejected || fleet.Writes() != 0 {
		t.Errorf("outcome %v, %d writes, want rejected without a write", change, fleet.Writes())
	}
}

// Guards against the second of two operators overwriting the change of the first one without an error.
func TestConcurrentApplyConflicts(t *testing.T) {
	fleet, server := declaredFleet(t)
	other := document(t, strings.Replace(proofroom, "floor 14", "floor 21", 1))
	fleet.BeforeNextWrite(func() { fleet.Put(other) })
	change := applyOne(t, server, strings.Replace(proofroom, "floor 14", "floor 7", 1))
	if change.Outcome != operator.OutcomeConflict || change.Revision != 2 {
		t.Fatalf("change %v, want a conflict with revision 2", change)
	}
	if got := strings.Join(change.Differences, "\n"); got != "~ floor: 21 slots -> 7 slots" {
		t.Errorf("differences %q", got)
	}
}

// Guards against a conflict after a lost response that is reported as if this change had certainly never been active.
func TestConflictAfterLostResponseIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, server := declaredFleet(t)
		fleet.Inject(fakefleet.ResponseLostAfterWrite)
		other := document(t, proofroom)
		done := make(chan struct{})
		go func() {
			defer close(done)
			synctest.Wait()
			fleet.Put(other)
		}()
		change := applyOne(t, server, strings.Replace(proofroom, "floor 14", "floor 7", 1))
		<-done
		if change.Outcome != operator.OutcomeConflict || !strings.Contains(change.Error, "may have been in force") {
			t.Errorf("change %v, want a conflict that reports the unknown outcome", change)
		}
	})
}

// Guards against commands on single entries that fail, or report that the entry does not exist, when a response is lost.
func TestEntryCommandsSurviveLostResponses(t *testing.T) {
	for _, fault := range []fakefleet.Fault{fakefleet.ResponseLostAfterWrite, fakefleet.ResponseLostBeforeWrite} {
		synctest.Test(t, func(t *testing.T) {
			fleet, server := declaredFleet(t)
			fleet.Suspect("n2")
			for _, text := range []string{
				"forbid request f1", "release request f1", "withdraw ejection of proof-2", "remove service proofroom force",
			} {
				fleet.Inject(fault)
				mustExecute(t, server, text)
			}
			if len(fleet.Snapshot().Services)+len(fleet.Snapshot().Ejections)+len(fleet.Snapshot().Quarantine) != 0 {
				t.Errorf("fault %d: entries remain: %+v", fault, fleet.Snapshot())
			}
		})
	}
}

// Guards against a removal that deletes a change which was made after the document was read.
func TestRemoveConflicts(t *testing.T) {
	fleet, server := declaredFleet(t)
	fleet.BeforeNextWrite(func() { fleet.Put(document(t, proofroom)) })
	_, err := execute(server, "remove service proofroom force")
	expectCode(t, err, connect.CodeAborted, "conflict", "revision 2")
	_, err = execute(server, "remove service proofrom")
	expectCode(t, err, connect.CodeNotFound, `did you mean "proofroom"?`)
	_, err = execute(server, "remove service proofroom")
	expectCode(t, err, connect.CodeFailedPrecondition, "routes (1)", "force")
}
