package callerconn

import (
	"context"
	"net"
)

type contextKey struct{}

// WithConn is a ConnContext function of an http.Server whose listener returns connections of this package.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the connection of a request, nil if it is not one of this package.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}
