package distribution

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/chunk"
)

// cachedChunk is a chunk in a chunkCache. Its data does not change.
type cachedChunk struct {
	data   []byte
	packed func() []byte
	// documents is the number of places in documents of this node that have the chunk. Without any, usedAt is the time at which
	// it was last needed.
	documents int
	usedAt    time.Duration
}

// newCachedChunk returns a chunk that is compressed when it is sent for the first time.
func newCachedChunk(data []byte) *cachedChunk {
	return &cachedChunk{data: data, packed: sync.OnceValue(func() []byte { return chunk.Pack(data) })}
}

// receivedChunk returns the compressed chunk that a node has sent for the ID.
func receivedChunk(id chunk.ID, packed []byte) (*cachedChunk, error) {
	data, err := chunk.Unpack(packed)
	if err != nil {
		return nil, err
	}
	if chunk.IDOf(data) != id {
		return nil, errors.New("distribution: a chunk has other contents than its ID says")
	}
	return &cachedChunk{data: data, packed: func() []byte { return packed }}, nil
}
