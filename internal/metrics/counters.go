package metrics

import (
	"expvar"
	"fmt"
)

// counters holds one counter for each of a fixed set of keys. The map is read-only after newCounters, so that add needs
// no lock.
type counters[K comparable] struct {
	byKey map[K]*expvar.Int
	// other counts keys outside the set.
	other expvar.Int
}

func newCounters[K comparable](keys []K) *counters[K] {
	c := &counters[K]{byKey: make(map[K]*expvar.Int, len(keys))}
	for _, key := range keys {
		c.byKey[key] = new(expvar.Int)
	}
	return c
}

func (c *counters[K]) add(key K, n int64) {
	if counter, ok := c.byKey[key]; ok {
		counter.Add(n)
		return
	}
	c.other.Add(n)
}

func (c *counters[K]) value(key K) int64 {
	if counter, ok := c.byKey[key]; ok {
		return counter.Value()
	}
	return 0
}

func (c *counters[K]) values() map[K]int64 {
	values := make(map[K]int64, len(c.byKey))
	for key, counter := range c.byKey {
		values[key] = counter.Value()
	}
	return values
}

// publish returns the counters as an expvar map, keyed by the text of their keys.
func (c *counters[K]) publish() *expvar.Map {
	published := new(expvar.Map).Init()
	for key, counter := range c.byKey {
		published.Set(fmt.Sprint(key), counter)
	}
	published.Set("other", &c.other)
	return published
}
