package upstream

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// connState tracks the connections of a request.
type connState struct {
	// obtained means that the request obtained a connection that had not been discarded. Without one it was not sent.
	obtained bool
	reused   bool
	// discarded means that the connection had been discarded before the request obtained it, so the request was not sent.
	discarded bool
	// premature means that the first byte of the response was received before the request was sent.
	premature atomic.Bool
	// received means that a byte of the response was received.
	received atomic.Bool
	conn     atomic.Pointer[conn]
	locked   bool
}

func (s *connState) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: s.gotConn, GotFirstResponseByte: s.gotFirstByte}
}

// gotConn is called again if http.Transport sends the request on another connection because the pooled one was closed.
func (s *connState) gotConn(info httptrace.GotConnInfo) {
	s.release()
	c := info.Conn.(*conn)
	c.exchange.Lock()
	c.readsBeforeRequest.Store(notSent)
	c.head.reset()
	s.locked = true
	s.conn.Store(c)
	s.premature.Store(false)
	s.received.Store(false)
	s.obtained = s.obtained || !c.discarded
	s.reused, s.discarded = info.Reused, c.discarded
}

func (s *connState) gotFirstByte() {
	s.received.Store(true)
	if !s.conn.Load().receivedSinceRequest() {
		s.premature.Store(true)
	}
}

// release lets the next request use the connection.
func (s *connState) release() {
	if s.locked {
		s.locked = false
		s.conn.Load().exchange.Unlock()
	}
}

// headFault returns an error if the head of the response is no proper one.
func (s *connState) headFault() error { return s.conn.Load().head.fault() }

// endBody checks the trailers behind a complete body and lets the next request use the connection. It returns io.EOF, or the
// fault of the trailers, which closes the connection.
func (s *connState) endBody(trailers http.Header) error {
	if err := checkTrailers(trailers); err != nil {
		s.discard()
		return err
	}
	s.release()
	return io.EOF
}

// discard closes the connection, so that it carries no further request. It must be called before release.
func (s *connState) discard() {
	c := s.conn.Load()
	c.discarded = true
	// The connection carries no further request, so an error from closing it needs no handling.
	_ = c.Close()
}

// reset prepares the state for sending the request again. It keeps obtained: http.Transport may have sent the request on an
// earlier connection.
func (s *connState) reset() {
	s.release()
	s.reused, s.discarded = false, false
}
