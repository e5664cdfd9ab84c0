package metrics

import (
	"expvar"

	"github.com/pkg/errors"
)

// Var returns all metrics as one expvar map.
func (m *Metrics) Var() *expvar.Map {
	published := new(expvar.Map).Init()
	published.Set("refusals", m.refusals.publish())
	published.Set("failures", m.failures.publish())
	published.Set("retries", m.retries.publish())
	published.Set("store_calls", m.store.publish())
	published.Set("link_bytes", m.link.publish())
	published.Set("latency", m.latencies)
	published.Set("snapshot_revision", &m.snapshotRevision)
	published.Set("config_revision", &m.configRevision)
	published.Set("requests_in_flight", &m.inFlight)
	published.Set("requests_accepted", &m.accepted)
	return published
}

// Publish publishes the metrics under the name in the process's expvar registry, which expvar.Handler serves. It returns
// an error if the name is taken. No other function of the package changes global state.
func Publish(name string, m *Metrics) error {
	if expvar.Get(name) != nil {
		return errors.Errorf("metrics: the name %q is published already", name)
	}
	expvar.Publish(name, m.Var())
	return nil
}
