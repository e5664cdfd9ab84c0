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

// Guards against an invalid document that deactivates a service, and a valid one that does not end a rejection.
func TestInvalidDocumentKeepsLastValidOne(t *testing.T) {
	table := NewTable("config/", 0)
	table.Apply([]Document{serviceDocument("a", 1)})
	invalid := Document{Key: ServicePrefix + "a", Value: []byte("{"), Revision: 2}
	table.Apply([]Document{invalid, {Key: ServicePrefix + "b", Value: serviceDocument("a", 3).Value, Revision: 3}})
	snapshot := table.Snapshot()
	if snapshot.Revisions["a"] != 1 || snapshot.Services["a"] == nil || snapshot.Services["b"] != nil {
		t.Errorf("active services: %v", snapshot.Revisions)
	}
	rejection := snapshot.Rejected[invalid.Key]
	if rejection.Err == nil || rejection.Revision != 2 || rejection.ActiveRevision != 1 {
		t.Errorf("rejection: %+v", rejection)
	}
	if err := snapshot.Rejected[ServicePrefix+"b"].Err; err == nil || !strings.Contains(err.Error(), "service a") {
		t.Errorf("document under the key of another service: %v", err)
	}
	table.Apply([]Document{serviceDocument("a", 4)})
	if next := table.Snapshot(); next.Revisions["a"] != 4 || next.Rejected[invalid.Key].Err != nil {
		t.Errorf("after the correction: %v, %v", next.Revisions, next.Rejected)
	}
	if snapshot.Revisions["a"] != 1 {
		t.Error("a published snapshot changed")
	}
}

// Guards against a deleted service that stays active after an invalid document, and against an older document that
// restores it.
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

// Guards against paging that never ends, splits one revision, or reports completeness too early.
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

// Guards against a table that forwards a range before it has all documents of that range. The forwarded range would list
// too few keys, and the receiver would delete live services.
func TestRangeOfTruncatedResponseIsNotForwarded(t *testing.T) {
	source, middle, last := NewTable("config/", 0), NewTable("config/", 0), NewTable("config/", 0)
	source.ApplyList([]Document{serviceDocument("a", 1), serviceDocument("b", 3)}, 3)
	documents, complete := source.Page(0, 1)
	middle.Apply(documents)
	middle.Advance(complete)
	last.Apply([]Document{serviceDocument("b", 2)})
	if forwarded, forwardedComplete := middle.Page(0, 1); forwardedComplete != 0 || forwarded[0].isRange() {
		t.Errorf("the table in the middle forwards %+v as complete up to %d", forwarded, forwardedComplete)
	}
	documents, complete = middle.Page(0, 1)
	last.Apply(documents)
	last.Advance(complete)
	if document, _ := last.Get(ServicePrefix + "b"); document.Deleted {
		t.Error("a live service was deleted")
	}
	documents, complete = source.Page(middle.Complete(), 1)
	middle.Apply(documents)
	middle.Advance(complete)
	if middle.CompleteForPeers() != 3 {
		t.Errorf("after the last part, the table is complete for peers up to %d", middle.CompleteForPeers())
	}
}

// Guards against a tombstone that arrives early and is removed before the table is complete up to its revision. The
// table would then apply an older document of the deleted key.
func TestEarlyDeletionsAreKept(t *testing.T) {
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
		t.Errorf("%d tombstones are kept, want 1", table.Len())
	}
}

// Guards against one route that this build does not understand keeping an older document of its service in force.
func TestUnsupportedRouteLeavesTheOthersInForce(t *testing.T) {
	for name, odd := range map[string]string{
		"unknown class":     `{"path":"/odd","class":"exactly-once"}`,
		"class as a number": `{"path":"/odd","class":7}`,
		"text as timeout":   `{"path":"/odd","timeout_ms":"soon"}`,
		"declared twice":    `{"path":"/new"}`,
		"unknown field":     `{"path":"/odd","from_a_later_build":{}}`,
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable("config/", 0)
			value := fmt.Sprintf(`{"name":"a","policy":{},"routes":[{"path":"/new"},%s]}`, odd)
			table.Apply([]Document{serviceDocument("a", 1), {Key: ServicePrefix + "a", Value: []byte(value), Revision: 2}})
			snapshot := table.Snapshot()
			if snapshot.Revisions["a"] != 2 || len(snapshot.Rejected) != 0 {
				t.Fatalf("revisions in force %v, rejected %v", snapshot.Revisions, snapshot.Rejected)
			}
			routes := snapshot.Services["a"].Routes
			if len(routes) != 2 || routes[0].Refusal() != nil || routes[1].Refusal() == nil {
				t.Errorf("routes %+v, want the first one served and the second one refused", routes)
			}
		})
	}
}
