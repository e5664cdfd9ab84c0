package fakeupstream

import (
	"os"
	"sync"

	"github.com/sardinereach/sardinereach/internal/model"
)

// counters hold the phase and the counts of one upstream.
type counters struct {
	mu     sync.Mutex
	phase  model.Phase
	status Status
}

// begin takes a slot for a request. It returns false if all slots are taken.
func (c *counters) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status.InFlight >= c.status.Slots {
		c.status.Shed++
		return false
	}
	c.status.InFlight++
	c.status.Started++
	c.status.MaxInFlight = max(c.status.MaxInFlight, c.status.InFlight)
	if c.phase > model.PhaseReady {
		c.status.StartedDraining++
	}
	return true
}

// end gives the slot back.
func (c *counters) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status.InFlight--
}

func (c *counters) add(update func(*Status)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.status)
}

// advance sets a later phase. A phase never goes back.
func (c *counters) advance(phase model.Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = max(c.phase, phase)
}

func (c *counters) snapshot() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := c.status
	status.Phase = c.phase.String()
	status.PID = os.Getpid()
	return status
}
