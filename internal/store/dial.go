package store

import (
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/storev1"
	"github.com/sardinereach/sardinereach/internal/framing"
)

const (
	// dialTimeout bounds the opening of a connection; a context can shorten it.
	dialTimeout = 2 * time.Second
	// idleTimeout closes connections that carry no call.
	idleTimeout = 90 * time.Second
	// maxIdleConnections is enough for the three concurrent watches of a node and its concurrent short calls.
	maxIdleConnections = 16
	// maxAnswerBytes bounds one answer. 120,000 routes of 100 bytes fit into it.
	maxAnswerBytes = 12 << 20
)

// Dial returns a Store that calls the service at address (host:port) over connect. No connection is opened before the
// first call. observe is called once per call with its kind, before the call is sent; it may be nil. A call has no time
// limit other than that of its context.
//
// ErrUnavailable is returned for reads without a response, and for writes that certainly did not take effect because no
// connection could be opened or the store refused the call by its rate limit. Any other write without a response returns
// ErrUnknownOutcome.
func Dial(address string, observe func(kind string)) Store {
	if observe == nil {
		observe = func(string) {}
	}
	transport := newTransport()
	return &client{rpc: newRPC(address, framing.RequireEnd(framing.RequireHead(transport))), observe: observe, transport: transport}
}

func newRPC(address string, transport http.RoundTripper) storev1.StoreClient {
	httpClient := &http.Client{
		Transport:     collectLarge{newAnswerLimiter(transport, maxAnswerBytes)},
		CheckRedirect: framing.KeepRedirects,
	}
	return storev1.NewStoreClient(httpClient, "http://"+address, connect.WithReadMaxBytes(maxAnswerBytes))
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: MaxHeadBytes,
	}
}
