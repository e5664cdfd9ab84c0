package config

import (
	"fmt"
	"strings"
	"testing"
)

func serviceDocument(name string, revision int64) Document {
	value := fmt.Sprintf(`{"name":%q,"policy":{},"routes":[{"path":"/%d"}]}`, name, revision)
	return Document{Key: ServicePrefix + name, Value: []byte(value), Revision: revision}
}

// Guards against a bad document that takes a service out of force, or a good one that does not end a rejection.
func TestBadDocumentKeepsLastGoodOne(t *testing.T) {
	table := NewTable("config/", 0)
	table.Apply([]Document{serviceDocument("a", 1)})
	bad := Document{Key: ServicePrefix + "a", Value: []byte("{"), Revision: 2}
	table.Apply([]Document{bad, {Key: ServicePrefix + "b", Value: serviceDocument("a", 3).Value, Revision: 3}})
	snapshot := table.Snapshot()
	if snapshot.Revisions["a"] != 1 || snapshot.Services["a"] == nil || snapshot.Services["b"] != nil {
		t.Errorf("services in force: %v", snapshot.Revisions)
	}
	rejection := snapshot.Rejected[bad.Key]
	if rejection.Err == nil || rejection.Revision != 2 || rejection.InForce != 1 {
		t.Errorf("rejection: %+v", rejection)
	}
	if err := snapshot.Rejected[ServicePrefix+"b"].Err; err == nil || !strings.Contains(err.Error(), "service a") {
		t.Errorf("document under a foreign key: %v", err)
	}
	table.Apply([]Document{serviceDocument("a", 4)})
	if next := table.Snapshot(); next.Revisions["a"] != 4 || next.Rejected[bad.Key].Err != nil {
		t.Errorf("after the correction: %v, %v", next.Revisions, next.Rejected)
	}
	if snapshot.Revisions["a"] != 1 {
		t.Error("a published snapshot changed")
	}
}

// Guards against a deleted service that stays in force, with and without an earlier bad document.
func TestDeletion(t *testing.T) {
	table := NewTable("config/", 0)
	table.Apply([]Document{serviceDocument("a", 1), {Key: ServicePrefix + "a", Value: []byte("{"), Revision: 2}})
	table.Apply([]Document{{Key: ServicePrefix + "a", Revision: 3, Deleted: true}})
	if snapshot := table.Snapshot(); len(snapshot.Services) != 0 || len(snapshot.Rejected) != 0 {
		t.Errorf("after the deletion: %+v", snapshot)
	}
	if changed := table.Apply([]Document{serviceDocument("a", 2)}); len(changed) != 0 {
		t.Errorf("a document from before the deletion was applied: %+v", changed)
	}
}

// Guards against pages that are endless, cut within one revision, or claim to be complete too early.
func TestPages(t *testing.T) {
	table := NewTable("config/", 0)
	var documents []Document
	for revision := int64(1); revision <= 5; revision++ {
		documents = append(documents, serviceDocument(fmt.Sprint(revision), revision))
	}
	table.ApplyList(documents, 6)
	table.ApplyList(documents[3:], 9)
	page, complete := table.Page(0, 1)
	if len(page) != 2 || complete != 4 || !page[0].isRange() {
		t.Errorf("first page: %d documents, complete up to %d", len(page), complete)
	}
	page, complete = table.Page(complete, 1)
	if len(page) != 2 || complete != 5 {
		t.Errorf("second page: %d documents, complete up to %d", len(page), complete)
	}
	page, complete = table.Page(9, 1)
	if len(page) != 0 || complete != 9 {
		t.Errorf("last page: %d documents, complete up to %d", len(page), complete)
	}
	if page, _ = table.Page(complete-1, 1); len(page) != 4 {
		t.Errorf("page with three deletions of one revision: %d documents", len(page))
	}
}

// Guards against a range that is passed on by a table that has only part of the documents that belong to it: it names
// too few keys, so that live services would be deleted.
func TestRangeOfCutAnswerIsNotPassedOn(t *testing.T) {
	source, middle, last := NewTable("config/", 0), NewTable("config/", 0), NewTable("config/", 0)
	source.ApplyList([]Document{serviceDocument("a", 1), serviceDocument("b", 3)}, 3)
	documents, complete := source.Page(0, 1)
	middle.Apply(documents)
	middle.Advance(complete)
	last.Apply([]Document{serviceDocument("b", 2)})
	if passed, proven := middle.Page(0, 1); proven != 0 || passed[0].isRange() {
		t.Errorf("the table in the middle passes on %+v as complete up to %d", passed, proven)
	}
	documents, complete = middle.Page(0, 1)
	last.Apply(documents)
	last.Advance(complete)
	if held, _ := last.Get(ServicePrefix + "b"); held.Deleted {
		t.Error("a live service was deleted")
	}
	documents, complete = source.Page(middle.Complete(), 1)
	middle.Apply(documents)
	middle.Advance(complete)
	if middle.Proven() != 3 {
		t.Errorf("after the last part, proven is %d", middle.Proven())
	}
}

// Guards against a deletion that arrived early and is forgotten before the table refuses what it replaced.
func TestEarlyDeletionsAreNotForgotten(t *testing.T) {
	table := NewTable("config/", 1)
	for revision := int64(5); revision <= 7; revision++ {
		table.Apply([]Document{{Key: ServicePrefix + fmt.Sprint(revision), Revision: revision, Deleted: true}})
	}
	table.Advance(2)
	if changed := table.Apply([]Document{serviceDocument("5", 3)}); len(changed) != 0 {
		t.Error("a document from before its deletion was applied")
	}
	table.Advance(7)
	if table.Len() != 1 {
		t.Errorf("%d deletions are remembered, want 1", table.Len())
	}
}
