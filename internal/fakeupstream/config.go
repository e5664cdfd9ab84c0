package fakeupstream

import (
	"time"

	"github.com/pkg/errors"
)

// DefaultAnnouncePeriod is the time between two announcements, as the announce protocol sets it.
const DefaultAnnouncePeriod = time.Second

// Config describes one upstream.
type Config struct {
	Service string
	Target  string
	// Listen is host:port for requests. Port 0 takes a free port.
	Listen string
	// Control is host:port of the listener for tests. Port 0 takes a free port.
	Control string
	// Node is host:port of the node's announce listener. Empty means that the upstream announces itself to nobody.
	Node  string
	Slots int
	// ColdStart is how long the upstream announces that it is starting.
	ColdStart time.Duration
	// AnnouncePeriod is DefaultAnnouncePeriod if 0.
	AnnouncePeriod time.Duration
	// Work is how long each request takes before its first byte.
	Work time.Duration
	// RunLog is the path of a file to which runs are appended, so that they outlive a crash. Empty keeps them in memory.
	RunLog string
	// Seed decides which requests fail under Faults.ErrorShare.
	Seed uint64
	// Crash ends the process at once. It must not return.
	Crash func()
}

func (c *Config) validate() error {
	if c.Service == "" || c.Target == "" {
		return errors.New("fake upstream: service and target are needed")
	}
	if c.Slots < 1 {
		return errors.Errorf("fake upstream: %d slots: use 1 or more", c.Slots)
	}
	return nil
}

func (c *Config) announcePeriod() time.Duration {
	if c.AnnouncePeriod == 0 {
		return DefaultAnnouncePeriod
	}
	return c.AnnouncePeriod
}
