package relay

import "time"

// chunk is a part of a stream with the earliest time at which it may be forwarded.
type chunk struct {
	data []byte
	due  time.Time
}

// maxQueuedChunks is the number of chunks queued in one direction before the relay stops reading from the sender.
const maxQueuedChunks = 256
