package peer

import "time"

// Options are the times and sizes of the protocol. The zero value of a field means its default.
type Options struct {
	// DialTimeout bounds the opening of a connection, and the answer to Hello on one. Default 400 ms, several times the round
	// trip between regions: nothing has been sent by then, so that another target can be asked.
	DialTimeout time.Duration
	// CallTimeout bounds a unary call. Default 2 s.
	CallTimeout time.Duration
	// IdleCheck is the idle time after which a connection is checked before it carries a request. Default 2 s.
	IdleCheck time.Duration
	// Silence is the time without any frame after which a connection counts as silent. Default 2 s.
	Silence time.Duration
	// Progress is the interval of progress frames while a request waits for its answer. Default 500 ms.
	Progress time.Duration
	// MaxIdle is the number of idle connections kept for each peer. Default 64.
	MaxIdle int
	// Count is told the bytes of each connection as they pass, for the metrics; nil for none. sent is true for bytes
	// written by this node.
	Count func(address, purpose string, sent bool, bytes int)
}

// Purposes of connections, as given to Options.Count.
const (
	// PurposeTraffic is the forwarding of requests.
	PurposeTraffic = "traffic"
	// PurposeControl is everything else between nodes.
	PurposeControl = "control"
)

const (
	defaultDialTimeout = 400 * time.Millisecond
	defaultCallTimeout = 2 * time.Second
	defaultIdleCheck   = 2 * time.Second
	defaultSilence     = 2 * time.Second
	defaultProgress    = 500 * time.Millisecond
	defaultMaxIdle     = 64

	// maxMessageBytes bounds one message in memory. A held answer and a page of node records fit in.
	maxMessageBytes = 16 << 20
	// writerBufferBytes is the size up to which frames are gathered into one write.
	writerBufferBytes = 16 << 10
	// flushDelay is how long a frame may wait for others before it is written.
	flushDelay = 2 * time.Millisecond
	// bodyChunkBytes is the size of the body pieces in frames.
	bodyChunkBytes = 64 << 10
)

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.CallTimeout, defaultCallTimeout)
	setDefault(&o.IdleCheck, defaultIdleCheck)
	setDefault(&o.Silence, defaultSilence)
	setDefault(&o.Progress, defaultProgress)
	setDefault(&o.MaxIdle, defaultMaxIdle)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
