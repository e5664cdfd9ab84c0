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
