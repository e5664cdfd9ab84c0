package main

import (
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/plainhop"
)

// hopIdleConnections exceeds the highest concurrency level, so that every caller keeps its connection.
const hopIdleConnections = 128

// serveHop runs a plain hop until the process is killed.
func serveHop(addresses string) error {
	listen, next, ok := strings.Cut(addresses, ",")
	if !ok {
		return errors.New("hop: use listen,next")
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "hop")
	}
	return errors.Wrap(http.Serve(listener, plainhop.New(next)), "hop")
}
