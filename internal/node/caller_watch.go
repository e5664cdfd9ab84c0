package node

import (
	"context"
	"net/http"

	"github.com/sardinereach/sardinereach/internal/callerconn"
)

// watchCaller returns the request, whose body is read, with a context that ends when the caller closes its connection, also
// while bytes of a later request wait on it. stop ends the watch.
func watchCaller(r *http.Request) (watched *http.Request, stop func()) {
	conn := callerconn.FromContext(r.Context())
	if conn == nil {
		return r, func() {}
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	unwatch := conn.Watch(cancel)
	return r.WithContext(ctx), func() {
		unwatch()
		cancel(nil)
	}
}

// abortResponse ends a response that was sent in part so that the caller cannot mistake it for a complete one. A response to
// HTTP/1.0 may have neither a length nor chunks: it ends with its connection, which is reset therefore.
func abortResponse(r *http.Request) {
	if conn := callerconn.FromContext(r.Context()); conn != nil && !r.ProtoAtLeast(1, 1) {
		// The connection may have failed already.
		_ = conn.Abort()
	}
	panic(http.ErrAbortHandler)
}
