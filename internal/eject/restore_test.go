package eject

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/store"
)

// restorableFleet is a fleet whose store comes back from older copies.
type restorableFleet struct {
	*fleet
	// copies are documents since the last restore, of any age.
	copies []register
}

// restore brings back one of the copies, at revisions of the next era.
func (f *restorableFleet) restore(t *rapid.T) {
	from := rapid.SampledFrom(f.copies).Draw(t, "copy")
	era := store.Era(f.register.revision) + 1
	f.register = register{doc: from.doc, revision: store.Revision(era, store.WithinEra(from.revision))}
	f.copies = nil
	f.saveCopy()
}

func (f *restorableFleet) saveCopy() { f.copies = append(f.copies, f.register) }

// requestAtOnce reads the document from the store, requests an entry and writes it, as the ejector does.
func (f *restorableFleet) requestAtOnce(t *rapid.T) {
	n := rapid.SampledFrom(f.nodes[:]).Draw(t, "node")
	if doc, err := Request(f.register.doc, service(8), f.floor, n.request); err == nil {
		n.swap = &pendingSwap{doc, f.register.revision, f.clock(n)}
		f.swap(t, n)
	}
}

// checkUnion fails if the targets that any node excludes now exceed what the floor or the maximum share allows.
func (f *restorableFleet) checkUnion(t *rapid.T) {
	var union Document
	for _, n := range f.nodes {
		for _, target := range n.view.ActiveTargets(f.clock(n)) {
			if _, ok := union.Find(target); !ok {
				union.Entries = append(union.Entries, Entry{Target: target})
			}
		}
	}
	if err := check(union, service(8), f.floor); err != nil {
		t.Fatal(err)
	}
}

// Guards against removing more capacity than the floor allows after the store came back from an older copy: entries that
// the copy lacks are still enforced, and entries that were garbage-collected are there again.
func TestFleetKeepsFloorAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &restorableFleet{fleet: newFleet(t)}
		f.saveCopy()
		actions := f.actions()
		actions["restore"] = f.restore
		actions["request at once"] = f.requestAtOnce
		actions["save copy"] = func(*rapid.T) { f.saveCopy() }
		actions["receive era"] = func(t *rapid.T) {
			n := rapid.SampledFrom(f.nodes[:]).Draw(t, "node")
			n.view.ReceiveEra(store.Era(f.register.revision), f.clock(n))
		}
		actions[""] = f.checkUnion
		t.Repeat(actions)
	})
}

// Guards against two entries for the last capacity that the floor leaves: one that the store has lost and one that took its
// share, and against entries that stay without effect after a restore.
func TestShareOfALostEntryIsNotUsedTwice(t *testing.T) {
	targets, floor := service(8), 49
	lost, err := Request(Document{}, targets, floor, permitRequest(0))
	if err != nil {
		t.Fatal(err)
	}
	after, err := Request(Document{}, targets, floor, permitRequest(1))
	if err != nil {
		t.Fatal(err)
	}
	var unaware, aware View
	unaware.Merge(lost, 7, 0, 0)
	for now, sequence := time.Duration(0), int64(1); now < 2*TTL; now, sequence = now+RenewInterval, sequence+1 {
		aware.Merge(after, store.Revision(1, sequence), 0, now)
		both := append(unaware.ActiveTargets(now), aware.ActiveTargets(now)...)
		if len(both) > 1 {
			t.Fatalf("%v are excluded %v after the restore", both, now)
		}
		if after, err = Renew(after, permitRequest(1)); err != nil {
			t.Fatal(err)
		}
	}
	if active := aware.ActiveTargets(2 * TTL); len(active) != 1 {
		t.Errorf("the renewed entry is not enforced after the restore: %v", active)
	}
}

// Guards against a target that is not excluded any more because its document was restored to an earlier renewal.
func TestExclusionContinuesOverARestore(t *testing.T) {
	doc, err := Request(Document{}, service(8), 42, permitRequest(0))
	if err != nil {
		t.Fatal(err)
	}
	renewed, err := Renew(doc, permitRequest(0))
	if err != nil {
		t.Fatal(err)
	}
	var view View
	view.Merge(doc, 1, 0, 0)
	view.Merge(renewed, 2, 0, RenewInterval)
	view.Merge(doc, store.Revision(1, 1), 0, RenewInterval+time.Second)
	if active := view.ActiveTargets(RenewInterval + TTL - 1); len(active) != 1 {
		t.Error("the target is not excluded until the TTL of the last renewal")
	}
	if active := view.ActiveTargets(RenewInterval + TTL); len(active) != 0 {
		t.Error("the restore has extended the TTL")
	}
}

// Guards against an entry that is collected on account of a mark from before the restore, while nodes enforce the restored
// entry.
func TestMarksFromBeforeARestoreDoNotCount(t *testing.T) {
	doc, err := Request(Document{}, service(8), 42, permitRequest(0))
	if err != nil {
		t.Fatal(err)
	}
	marked, err := Withdraw(doc, permitRequest(0).Target)
	if err != nil {
		t.Fatal(err)
	}
	var view View
	view.Merge(marked, 2, 0, 0)
	restoredAt := collectAfter - time.Second
	view.Merge(marked, store.Revision(1, 2), 0, restoredAt)
	if _, err := view.CollectGarbage(restoredAt + collectAfter - 1); err == nil {
		t.Error("the entry was collected too early")
	}
	if _, err := view.CollectGarbage(restoredAt + collectAfter); err != nil {
		t.Errorf("the entry is not collected: %v", err)
	}
}
