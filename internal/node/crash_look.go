package node

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/upstream"
)

const (
	// crashDialTimeout bounds the look whether an upstream that broke a connection still listens.
	crashDialTimeout = 500 * time.Millisecond
	// crashLooks and crashLookPause are how often and how far apart the upstream is looked at after a connection broke.
	crashLooks     = 3
	crashLookPause = 20 * time.Millisecond
)

// isBreak reports whether the connection broke in a way that a crash of the upstream would explain.
func isBreak(result upstream.Result) bool {
	return result.Outcome == upstream.Lost || result.Outcome == upstream.Incomplete
}

// listens reports whether the upstream still accepts connections. Only a refused connection says that it does not: a
// slow or silent upstream has not crashed. The listener of a process that exits may outlive its connections for a moment,
// so that a first success is checked again.
func listens(address string) bool {
	for range crashLooks {
		if refuses(address) {
			return false
		}
		time.Sleep(crashLookPause)
	}
	return !refuses(address)
}

func refuses(address string) bool {
	c, err := net.DialTimeout("tcp", address, crashDialTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was written, so that the error of closing tells nothing.
	_ = c.Close()
	return false
}
