package fakeupstream

import (
	"io"
	"math/rand/v2"
)

// contentName keeps the generator's input distinct from other uses of the same token.
const contentName = "fake upstream content:"

// Content returns the first size bytes that belong to a token. Client and upstream compute the same bytes.
func Content(token string, size int64) io.Reader {
	var seed [32]byte
	for i, c := range []byte(contentName + token) {
		seed[i%len(seed)] = seed[i%len(seed)]*31 + c
	}
	return io.LimitReader(rand.NewChaCha8(seed), size)
}
