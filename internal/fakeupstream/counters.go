package fakeupstream

import (
	"os"
	"sync"

	"github.com/sardinereach/sardinereach/internal/model"
)

// counters are the phase and the request counts of one upstream.
type counters struct {
	mu     sync.Mutex
	phase  model.Phase
	status Status
}

// acquireSlot takes a slot for a request. If no slot is free, it counts the request as shed and returns false.
func (c *counters) acquireSlot() bool {
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
		c.status.StartedWhileDraining++
	}
	return true
}

func (c *counters) releaseSlot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status.InFlight--
}

func (c *counters) add(update func(*Status)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.status)
}

// advance sets the phase, unless the current phase is a later one.
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
