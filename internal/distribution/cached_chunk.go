package distribution

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/chunk"
)

// cachedChunk is a chunk in a chunkCache. Its data does not change.
type cachedChunk struct {
	data []byte
	// packed is the compressed chunk, nil before it is sent for the first time.
	packed atomic.Pointer[[]byte]
	// documents is the number of places in documents of this node that have the chunk. Without any, usedAt is the time at which
	// it was last needed.
	documents int
	usedAt    time.Duration
}

func newCachedChunk(data []byte) *cachedChunk { return &cachedChunk{data: data} }

// receivedChunk returns the compressed chunk that a node has sent for the ID.
func receivedChunk(id chunk.ID, packed []byte) (*cachedChunk, error) {
	data, err := chunk.Unpack(packed)
	if err != nil {
		return nil, err
	}
	if chunk.IDOf(data) != id {
		return nil, errors.New("distribution: a chunk has other contents than its ID says")
	}
	c := newCachedChunk(data)
	c.packed.Store(&packed)
	return c, nil
}

// pack returns the compressed chunk.
func (c *cachedChunk) pack() []byte {
	if packed := c.packed.Load(); packed != nil {
		return *packed
	}
	packed := chunk.Pack(c.data)
	c.packed.Store(&packed)
	return packed
}
