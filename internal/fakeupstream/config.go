package fakeupstream

import (
	"time"

	"github.com/pkg/errors"
)

// DefaultAnnouncePeriod is the time between two announcements that the announce protocol specifies.
const DefaultAnnouncePeriod = time.Second

// Config describes one upstream.
type Config struct {
	Service string
	Target  string
	// Listen is host:port for requests. Port 0 means any free port.
	Listen string
	// Control is host:port of the control listener for tests. Port 0 means any free port.
	Control string
	// Node is host:port of the node's announce listener. If it is empty, the upstream sends no announcements.
	Node  string
	Slots int
	// ColdStart is how long the upstream announces the phase starting.
	ColdStart time.Duration
	// AnnouncePeriod is DefaultAnnouncePeriod if 0.
	AnnouncePeriod time.Duration
	// WorkDuration is how long a request runs before the first byte of its response, unless HeaderWorkMS is set.
	WorkDuration time.Duration
	// RunLog is the path of a file to which runs are appended, so that they survive a crash. If it is empty, runs are
	// kept only in memory.
	RunLog string
	// Seed determines which requests fail under Faults.ErrorShare.
	Seed uint64
	// Crash terminates the process immediately. It must not return.
	Crash func()
}

func (c *Config) validate() error {
	if c.Service == "" || c.Target == "" {
		return errors.New("fake upstream: service and target are required")
	}
	if c.Slots < 1 {
		return errors.Errorf("fake upstream: %d slots: want at least 1", c.Slots)
	}
	return nil
}

func (c *Config) announcePeriod() time.Duration {
	if c.AnnouncePeriod == 0 {
		return DefaultAnnouncePeriod
	}
	return c.AnnouncePeriod
}
