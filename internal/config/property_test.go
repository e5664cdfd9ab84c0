package config

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a merge whose result depends on the order of documents or on duplicates.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		documents := rapid.SliceOf(rapid.Custom(drawDocument)).Draw(t, "documents")
		one, other := NewTable("config/", 0), NewTable("config/", 0)
		one.Apply(documents)
		for _, document := range rapid.Permutation(documents).Draw(t, "order") {
			other.Apply([]Document{document})
		}
		if !equalTables(one, other) {
			t.Fatalf("the result depends on the order of documents: %v and %v", one.Since(0), other.Since(0))
		}
		if changed := other.Apply(documents); len(changed) != 0 {
			t.Fatalf("duplicates changed %v", changed)
		}
		if one.Revision() != other.Revision() {
			t.Fatalf("highest revisions %d and %d", one.Revision(), other.Revision())
		}
	})
}

// drawDocument draws documents of three keys. Revision and key determine the content, as in a store.
func drawDocument(t *rapid.T) Document {
	revision := rapid.Int64Range(1, 20).Draw(t, "revision")
	name := string(rune('a' + revision%3))
	if revision%5 == 0 {
		return Document{Key: ServicePrefix + name, Revision: revision, Deleted: true}
	}
	return serviceDocument(name, revision)
}

func equalTables(a, b *Table) bool {
	return slices.EqualFunc(a.Since(0), b.Since(0), func(x, y Document) bool {
		return x.Key == y.Key && x.Revision == y.Revision && x.Deleted == y.Deleted && string(x.Value) == string(y.Value)
	}) && maps.Equal(a.Snapshot().Revisions, b.Snapshot().Revisions)
}

// cluster is a store and tables that receive documents from it and from each other.
type cluster struct {
	revision int64
	store    map[string]Document
	changes  []Document
	tables   []*Table
	// seen is the greatest revision of each key that each table has had.
	seen []map[string]int64
}

func newCluster(size int) *cluster {
	c := &cluster{store: map[string]Document{}}
	for range size {
		// A low bound on tombstones, so that ranges are needed.
		c.tables = append(c.tables, NewTable("config/", 2))
		c.seen = append(c.seen, map[string]int64{})
	}
	return c
}

func (c *cluster) put(name string) {
	c.revision++
	document := serviceDocument(name, c.revision)
	c.store[document.Key] = document
	c.changes = append(c.changes, document)
}

func (c *cluster) remove(name string) {
	key := ServicePrefix + name
	if _, exists := c.store[key]; !exists {
		return
	}
	c.revision++
	delete(c.store, key)
	c.changes = append(c.changes, Document{Key: key, Revision: c.revision, Deleted: true})
}

func (c *cluster) watch(table *Table) {
	var documents []Document
	for _, change := range c.changes {
		if change.Revision > table.Complete() {
			documents = append(documents, change)
		}
	}
	table.Apply(documents)
	table.Advance(c.revision)
}

func (c *cluster) list(table *Table) {
	table.ApplyList(slices.Collect(maps.Values(c.store)), c.revision)
}

// applyOutOfOrder applies a document that arrives out of order.
func (c *cluster) applyOutOfOrder(t *rapid.T, table *Table) {
	if len(c.changes) > 0 {
		table.Apply([]Document{rapid.SampledFrom(c.changes).Draw(t, "change")})
	}
}

// burst creates and deletes more services than a table keeps tombstones.
func (c *cluster) burst() {
	for name := range 4 {
		c.put(fmt.Sprint(name))
	}
	for name := range 4 {
		c.remove(fmt.Sprint(name))
	}
}

func pull(to, from *Table, maxBytes int) {
	documents, complete := from.Page(to.Complete(), maxBytes)
	to.Apply(documents)
	to.Expect(from.Newest())
	to.Advance(complete)
}

// check fails if a key of a table reverted to an earlier revision or reappeared after its deletion.
func (c *cluster) check(t *rapid.T) {
	for index, table := range c.tables {
		for _, document := range table.Since(0) {
			if document.isRange() {
				continue
			}
			if document.Revision < c.seen[index][document.Key] {
				t.Fatalf("table %d: %s reverted from %d to %d", index, document.Key,
					c.seen[index][document.Key], document.Revision)
			}
			c.seen[index][document.Key] = document.Revision
		}
	}
}

func (c *cluster) checkConverged(t *rapid.T) {
	for index, table := range c.tables {
		live := map[string]int64{}
		for _, document := range table.Since(0) {
			if !document.Deleted {
				live[document.Key] = document.Revision
			}
		}
		want := map[string]int64{}
		for key, document := range c.store {
			want[key] = document.Revision
		}
		if !maps.Equal(live, want) {
			t.Fatalf("table %d has %v, the store has %v", index, live, want)
		}
	}
}

// Guards against lost documents, documents that revert and deletions that are lost, in any mix of watches, lists after
// compaction, truncated pulls in any direction, documents out of order and replaced nodes.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 4
		c := newCluster(size)
		table := func(t *rapid.T) int { return rapid.IntRange(0, size-1).Draw(t, "table") }
		name := func(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "name")) }
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(t *rapid.T) { c.put(name(t)) },
			"remove": func(t *rapid.T) { c.remove(name(t)) },
			"watch":  func(t *rapid.T) { c.watch(c.tables[table(t)]) },
			"list":   func(t *rapid.T) { c.list(c.tables[table(t)]) },
			"learn":  func(t *rapid.T) { c.applyOutOfOrder(t, c.tables[table(t)]) },
			"burst":  func(*rapid.T) { c.burst() },
			"replace": func(t *rapid.T) {
				index := table(t)
				c.tables[index], c.seen[index] = NewTable("config/", 2), map[string]int64{}
			},
			"pull": func(t *rapid.T) {
				to, from := table(t), table(t)
				pull(c.tables[to], c.tables[from], rapid.IntRange(1, 500).Draw(t, "bytes"))
			},
			"": func(t *rapid.T) { c.check(t) },
		})
		if rapid.Bool().Draw(t, "compacted") {
			c.list(c.tables[0])
		} else {
			c.watch(c.tables[0])
		}
		for to := 1; to < size; to++ {
			for c.tables[to].Complete() < c.revision {
				pull(c.tables[to], c.tables[to-1], 100)
			}
		}
		c.check(t)
		c.checkConverged(t)
	})
}
