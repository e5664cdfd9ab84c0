package distribution

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/config"
)

// largeDocument returns a document of many chunks, of which one depends on revision.
func largeDocument(revision int64) config.Document {
	value := []byte(`{"name":"ledger","routes":[`)
	for i := range 2000 {
		path := fmt.Sprintf("/p%d/", i)
		if i == 1000 {
			path = fmt.Sprintf("/revision%d/", revision)
		}
		value = fmt.Appendf(value, `{"host":"h%d.example","path":%q},`, i, path)
	}
	return config.Document{Key: config.ServicePrefix + "ledger", Value: append(value, "]}"...), Revision: revision}
}

// Guards against chunks of earlier revisions that are kept for good, and against a cache that forgets those of the current one.
func TestChunksOfEarlierRevisionsExpire(t *testing.T) {
	cache, table := newChunkCache(), config.NewTable(ConfigPrefix, 0)
	now := time.Duration(0)
	for revision := int64(1); revision <= 50; revision++ {
		now += time.Minute
		document := largeDocument(revision)
		table.Apply([]config.Document{document})
		cache.manifest(document, now)
		cache.expire(table, now)
	}
	current := cache.manifest(largeDocument(50), now)
	if missing := cache.missing(current, now); len(missing) != 0 {
		t.Errorf("%d chunks of the current revision are missing", len(missing))
	}
	cache.expire(table, now+2*chunkRetention)
	if len(cache.chunks) != len(current) {
		t.Errorf("%d chunks are kept for a document of %d", len(cache.chunks), len(current))
	}
	if string(cache.assemble(current)) != string(largeDocument(50).Value) {
		t.Error("the chunks are not the document")
	}
	table.Apply([]config.Document{{Key: config.ServicePrefix + "ledger", Revision: 51, Deleted: true}})
	cache.expire(table, now)
	cache.expire(table, now+2*chunkRetention)
	if len(cache.chunks) != 0 {
		t.Errorf("%d chunks are kept for a deleted document", len(cache.chunks))
	}
}

// Guards against a cache that keeps the memory of earlier revisions for the chunks that did not change.
func TestChunksShareTheMemoryOfTheNewestRevision(t *testing.T) {
	cache := newChunkCache()
	cache.manifest(largeDocument(1), 0)
	newest := largeDocument(2)
	first := cache.manifest(newest, 0)[0]
	if &cache.chunks[first].data[0] != &newest.Value[0] {
		t.Error("a chunk shares the memory of an earlier revision")
	}
}
