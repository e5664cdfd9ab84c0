package upstream

import (
	"net"
	"net/http/httptrace"
	"testing"
)

// Guards against a request that counts as not sent because the last of its connections had been discarded, although
// http.Transport had sent it on another one before.
func TestRequestSentBeforeDiscardedConnectionCountsAsSent(t *testing.T) {
	sent, discarded := newTestConn(t), newTestConn(t)
	discarded.discarded = true
	state := new(connState)
	defer state.release()
	state.gotConn(httptrace.GotConnInfo{Conn: sent, Reused: true})
	state.gotConn(httptrace.GotConnInfo{Conn: discarded, Reused: true})
	state.reset()
	if !state.obtained {
		t.Error("the request counts as not sent")
	}
}

// Guards against a request that counts as sent although all of its connections had been discarded.
func TestRequestOnDiscardedConnectionCountsAsNotSent(t *testing.T) {
	discarded := newTestConn(t)
	discarded.discarded = true
	state := new(connState)
	defer state.release()
	state.gotConn(httptrace.GotConnInfo{Conn: discarded, Reused: true})
	if state.obtained {
		t.Error("the request counts as sent")
	}
}

func newTestConn(t *testing.T) *conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return &conn{Conn: near}
}
