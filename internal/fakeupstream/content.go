package fakeupstream

import (
	"io"
	"math/rand/v2"
)

// contentSeedPrefix separates the seed of the content from other uses of the same token.
const contentSeedPrefix = "fake upstream content:"

// Content returns size bytes of a pseudorandom stream that depends only on the token. Client and upstream compute the
// same bytes.
func Content(token string, size int64) io.Reader {
	var seed [32]byte
	for i, c := range []byte(contentSeedPrefix + token) {
		seed[i%len(seed)] = seed[i%len(seed)]*31 + c
	}
	return io.LimitReader(rand.NewChaCha8(seed), size)
}
