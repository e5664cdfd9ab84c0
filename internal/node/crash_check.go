package node

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/upstream"
)

const (
	// crashDialTimeout limits one connection attempt to an upstream whose connection broke.
	crashDialTimeout = 500 * time.Millisecond
	// crashChecks and crashCheckInterval set how often and at which interval isListening repeats a successful check.
	crashChecks        = 3
	crashCheckInterval = 20 * time.Millisecond
)

// isBrokenConnection reports whether the connection broke in a way that a crash of the upstream can cause.
func isBrokenConnection(result upstream.Result) bool {
	return result.Outcome == upstream.Lost || result.Outcome == upstream.Incomplete
}

// isListening reports whether the upstream still accepts connections. Only a refused connection indicates that it does not:
// a slow or unresponsive upstream has not crashed. The listener of an exiting process may stay open for a moment after its
// connections are closed, so a successful check is repeated.
func isListening(address string) bool {
	for range crashChecks {
		if refusesConnection(address) {
			return false
		}
		time.Sleep(crashCheckInterval)
	}
	return !refusesConnection(address)
}

func refusesConnection(address string) bool {
	c, err := net.DialTimeout("tcp", address, crashDialTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was written, so an error of Close can be ignored.
	_ = c.Close()
	return false
}
