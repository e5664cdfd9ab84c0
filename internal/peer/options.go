package peer

import "time"

// Options are the timeouts and sizes of the protocol. The zero value of a field selects its default.
type Options struct {
	// DialTimeout bounds the opening of a connection, and a Hello call. Default 400 ms, several times the round trip time
	// between regions. It can be short because the request was not sent yet, so that the next target can be tried.
	DialTimeout time.Duration
	// CallTimeout bounds a unary call. Default 2 s.
	CallTimeout time.Duration
	// IdleCheckAfter is the idle time after which a connection is checked before it carries a request. Default 2 s.
	IdleCheckAfter time.Duration
	// FrameTimeout is the time without any frame after which a call fails and its connection is closed. Default 2 s.
	FrameTimeout time.Duration
	// ProgressInterval is the interval of progress frames while there is no other frame of the response to send. Default
	// 500 ms.
	ProgressInterval time.Duration
	// MaxIdle is the number of idle connections kept for each peer. Default 64.
	MaxIdle int
	// OnBytes is called with the number of bytes after each read and write of a connection, for the metrics. It may be nil.
	// sent is true for bytes written by this node.
	OnBytes func(address, purpose string, sent bool, bytes int)
}

// Purposes of connections, as passed to Options.OnBytes.
const (
	// PurposeTraffic is the forwarding of requests.
	PurposeTraffic = "traffic"
	// PurposeControl is everything else between nodes.
	PurposeControl = "control"
)

const (
	defaultDialTimeout      = 400 * time.Millisecond
	defaultCallTimeout      = 2 * time.Second
	defaultIdleCheckAfter   = 2 * time.Second
	defaultFrameTimeout     = 2 * time.Second
	defaultProgressInterval = 500 * time.Millisecond
	defaultMaxIdle          = 64

	// maxRequestBytes and maxTrafficBytes bound one message to this node, and one of the response to a forwarded request. They are
	// large enough for the header block of a request and for a retained response of 1 MiB.
	maxRequestBytes = 2 << 20
	maxTrafficBytes = 2 << 20
	// maxControlBytes bounds one message of any other response. It is large enough for a response to a pull, see
	// distribution.Options.MaxPullRecords.
	maxControlBytes = 4 << 20
	// writerBufferBytes is the size up to which frames are buffered for one write.
	writerBufferBytes = 16 << 10
	// flushDelay is how long a frame stays in the buffer, so that later frames can share its write.
	flushDelay = 2 * time.Millisecond
	// bodyChunkBytes is the size of the body pieces in frames.
	bodyChunkBytes = 64 << 10
)

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.CallTimeout, defaultCallTimeout)
	setDefault(&o.IdleCheckAfter, defaultIdleCheckAfter)
	setDefault(&o.FrameTimeout, defaultFrameTimeout)
	setDefault(&o.ProgressInterval, defaultProgressInterval)
	setDefault(&o.MaxIdle, defaultMaxIdle)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
