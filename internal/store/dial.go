package store

import (
	"net"
	"net/http"
	"time"

	"github.com/sardinereach/sardinereach/api/storev1"
)

const (
	// dialTimeout bounds the opening of a connection; a context can shorten it.
	dialTimeout = 2 * time.Second
	// idleTimeout closes connections that carry no call.
	idleTimeout = 90 * time.Second
	// maxIdleConnections covers the three waiting watches of a node and its concurrent short calls.
	maxIdleConnections = 16
)

// Dial returns a Store that calls the service at address (host:port) over connect. No connection is opened before the
// first call. Each call is reported to observe once, with its kind, before it is sent; observe may be nil. A call has
// no time limit of its own beyond that of its context.
//
// ErrUnavailable is returned for reads that got no answer, and for writes that surely did not take effect: no
// connection could be opened, or the store refused the call for its rate. Any other missing answer to a write is
// ErrUnknownOutcome.
func Dial(address string, observe func(kind string)) Store {
	if observe == nil {
		observe = func(string) {}
	}
	transport := newTransport()
	rpc := storev1.NewStoreClient(&http.Client{Transport: transport}, "http://"+address)
	return &client{rpc: rpc, observe: observe, transport: transport}
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
}
