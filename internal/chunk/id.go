package chunk

import "crypto/sha256"

// IDBytes is the length of an ID.
const IDBytes = 16

// ID identifies a chunk by its content.
type ID [IDBytes]byte

// IDOf returns the ID of the chunk with the data.
func IDOf(data []byte) ID {
	sum := sha256.Sum256(data)
	return ID(sum[:IDBytes])
}
