package distribution

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/chunk"
	"github.com/sardinereach/sardinereach/internal/config"
)

const (
	// manifestsFromBytes is the size of all documents of a response from which they are sent as manifests, and manifestMinBytes
	// the size from which one of them is.
	manifestsFromBytes = 4 << 10
	manifestMinBytes   = 128
	// chunkRetention is the time for which chunks are kept that no document has: those of an earlier version, which slower
	// nodes may still request, and received ones of a version that is not complete yet.
	chunkRetention = 30 * time.Second
	// chunksPerCall is the number of chunks that one call requests. The nodes of a domain may request as many at the same
	// time from one node, and each of these calls has to end within Options.PullTimeout over a link of 10 Mbit/s.
	chunksPerCall = 16
	// maxManifestChunks bounds a document that is sent as a manifest. The store's limit for a value is 1 MB.
	maxManifestChunks = 1 << 10
	// claimPatience is the time after which chunks that were requested from one node may be requested from another one.
	claimPatience = 500 * time.Millisecond
)

// chunkCache holds the chunks of the configuration documents of a node, and those that it receives of newer ones.
// Distributor.mu guards it.
type chunkCache struct {
	documents map[string]*chunkedDocument
	chunks    map[chunk.ID]*cachedChunk
	// claims are the times at which missing chunks were requested from some node.
	claims map[chunk.ID]time.Duration
	// changed is closed when chunks have arrived or a call that requested some has ended.
	changed chan struct{}
}

// chunkedDocument is the manifest of a document at a revision.
type chunkedDocument struct {
	revision int64
	manifest chunk.Manifest
}

func newChunkCache() chunkCache {
	return chunkCache{
		documents: map[string]*chunkedDocument{},
		chunks:    map[chunk.ID]*cachedChunk{},
		claims:    map[chunk.ID]time.Duration{},
		changed:   make(chan struct{}),
	}
}

// manifest returns the manifest of a document of this node and keeps its chunks in place of those of an older revision.
func (c *chunkCache) manifest(document config.Document, now time.Duration) chunk.Manifest {
	current := c.documents[document.Key]
	if current != nil && current.revision == document.Revision {
		return current.manifest
	}
	next := &chunkedDocument{revision: document.Revision}
	for _, data := range chunk.Split(document.Value) {
		id := chunk.IDOf(data)
		next.manifest = append(next.manifest, id)
		c.place(id, data)
	}
	c.remove(document.Key, now)
	c.documents[document.Key] = next
	return next.manifest
}

// place counts a place in a document that has the chunk. From now on the chunk shares the memory of that document, so that none of
// an earlier revision is kept for it.
func (c *chunkCache) place(id chunk.ID, data []byte) {
	placed := newCachedChunk(data)
	if known := c.chunks[id]; known != nil {
		placed.documents = known.documents
		placed.packed.Store(known.packed.Load())
	}
	placed.documents++
	c.chunks[id] = placed
}

// remove releases the chunks of the document with the key.
func (c *chunkCache) remove(key string, now time.Duration) {
	current := c.documents[key]
	if current == nil {
		return
	}
	for _, id := range current.manifest {
		c.chunks[id].documents--
		c.chunks[id].usedAt = now
	}
	delete(c.documents, key)
}

// add keeps a chunk.
func (c *chunkCache) add(id chunk.ID, added *cachedChunk, now time.Duration) {
	if c.chunks[id] == nil {
		c.chunks[id] = added
	}
	c.chunks[id].usedAt = now
}

// missing returns the chunks of the manifest that the cache lacks.
func (c *chunkCache) missing(manifest chunk.Manifest, now time.Duration) []chunk.ID {
	var ids []chunk.ID
	for _, id := range manifest {
		if known := c.chunks[id]; known != nil {
			known.usedAt = now
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// assemble returns the document with the manifest, whose chunks are all in the cache.
func (c *chunkCache) assemble(manifest chunk.Manifest) []byte {
	size := 0
	for _, id := range manifest {
		size += len(c.chunks[id].data)
	}
	value := make([]byte, 0, size)
	for _, id := range manifest {
		value = append(value, c.chunks[id].data...)
	}
	return value
}

// claim returns some of the missing chunks, which the caller requests from a node, and leaves out those that were requested
// from another one a short time ago.
func (c *chunkCache) claim(missing []chunk.ID, now time.Duration) chunk.Manifest {
	var claimed chunk.Manifest
	for _, id := range missing {
		if at, ok := c.claims[id]; ok && now-at < claimPatience {
			continue
		}
		c.claims[id] = now
		if claimed = append(claimed, id); len(claimed) == chunksPerCall {
			break
		}
	}
	return claimed
}

// release ends the claims of a call and wakes those that wait for chunks.
func (c *chunkCache) release(claimed chunk.Manifest) {
	for _, id := range claimed {
		delete(c.claims, id)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// expire removes the chunks that no document of the table has had for chunkRetention.
func (c *chunkCache) expire(table *config.Table, now time.Duration) {
	for key := range c.documents {
		if document, ok := table.Get(key); !ok || document.Deleted {
			c.remove(key, now)
		}
	}
	for id, known := range c.chunks {
		if known.documents == 0 && now-known.usedAt > chunkRetention {
			delete(c.chunks, id)
		}
	}
}
