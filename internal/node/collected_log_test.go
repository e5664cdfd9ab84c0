package node

import (
	"strings"
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/internal/events"
)

// collectedLog keeps the lines of a log.
type collectedLog struct {
	mu    sync.Mutex
	lines strings.Builder
}

// logInto makes the acceptor write its log to the returned one.
func logInto(a *acceptor) *collectedLog {
	log := new(collectedLog)
	a.log = events.New(log, time.Now)
	return log
}

// Write implements events.Sink.
func (l *collectedLog) Write(_ events.Severity, line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines.WriteString(line + "\n")
}

func (l *collectedLog) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}
