package settings

import "time"

// Limits bounds the resources of the node that callers and upstreams can use.
type Limits struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the header block of a request.
	MaxHeaderBytes int64
	// MaxConnections bounds the open connections of callers.
	MaxConnections int
	// MaxRequests bounds the accepted requests in flight.
	MaxRequests int
	// ReadHeaderTimeout bounds the time in which a caller must send the header block.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection of a caller is closed.
	IdleTimeout time.Duration
	// RetainedResponseBytes bounds the memory for responses that are retained until the accepting node acknowledges them.
	RetainedResponseBytes int64
	// QueuePerTarget bounds the requests that wait for a slot of a target.
	QueuePerTarget int
	// LinkBytesPerSecond bounds the bytes that this node sends to other regions. 0 means no bound.
	LinkBytesPerSecond int64
}
