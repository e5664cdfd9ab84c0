package distribution

import (
	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/chunk"
)

// maxChunksBytes bounds the chunks of a response, in compressed form.
const maxChunksBytes = 128 << 10

// HandleChunks responds to a request of another node for chunks with those that this node has, up to maxChunksBytes.
func (d *Distributor) HandleChunks(request *peerv1.ChunksRequest) *peerv1.ChunksResponse {
	response := &peerv1.ChunksResponse{}
	ids, err := chunk.DecodeManifest(request.GetIds())
	if err != nil {
		return response
	}
	size := 0
	for _, id := range ids[:min(len(ids), chunksPerCall)] {
		known := d.cachedChunk(id)
		if known == nil {
			continue
		}
		packed := known.pack()
		if size += len(packed); size > maxChunksBytes {
			break
		}
		response.Ids = append(response.Ids, id[:]...)
		response.Chunks = append(response.Chunks, packed)
	}
	return response
}

// cachedChunk returns the chunk, nil if this node does not have it.
func (d *Distributor) cachedChunk(id chunk.ID) *cachedChunk {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.chunks.chunks[id]
	if known != nil {
		known.usedAt = d.options.Now()
	}
	return known
}
