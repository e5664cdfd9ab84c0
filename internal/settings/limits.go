package settings

import "time"

// Limits bounds what callers and upstreams may use of the node.
type Limits struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the header block of a request.
	MaxHeaderBytes int64
	// MaxConnections bounds the open connections of callers.
	MaxConnections int
	// MaxRequests bounds the requests in flight that the node accepted.
	MaxRequests int
	// ReadHeaderTimeout bounds the time that a caller takes to send the header block.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection of a caller is closed.
	IdleTimeout time.Duration
	// HeldAnswerBytes bounds the memory for answers that wait until an accepting node collects them.
	HeldAnswerBytes int64
	// QueuePerTarget bounds the requests that wait for a slot of one target.
	QueuePerTarget int
	// LinkBytesPerSecond bounds the bytes that this node sends to other regions. 0 means no bound.
	LinkBytesPerSecond int64
}
