package relay

import "time"

// chunk is a piece of a stream that is due at a time.
type chunk struct {
	data []byte
	due  time.Time
}

// queueChunks is the number of chunks that a delayed direction holds before the sender has to wait.
const queueChunks = 256
