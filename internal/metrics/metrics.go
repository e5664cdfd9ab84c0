// Package metrics holds the metrics of a daemon and publishes them over expvar: refusals, failures and retries by reason,
// store calls by kind, bytes on links by purpose and direction, latencies by service, and gauges.
package metrics

import (
	"expvar"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Metrics holds the counters of one daemon. Its methods are safe for concurrent use.
type Metrics struct {
	refusals  reasonCounters
	failures  reasonCounters
	retries   reasonCounters
	store     *counters[StoreCall]
	link      *counters[linkKey]
	latencies *latencies

	snapshotRevision expvar.Int
	configRevision   expvar.Int
	inFlight         expvar.Int
	accepted         expvar.Int
}

// New returns metrics that are all zero.
func New() *Metrics {
	return &Metrics{
		refusals:  newReasonCounters(),
		failures:  newReasonCounters(),
		retries:   newReasonCounters(),
		store:     newCounters(StoreCalls()),
		link:      newCounters(linkKeys()),
		latencies: newLatencies(),
	}
}

// Refused counts a request that ended with the verdict not-run for the reason.
func (m *Metrics) Refused(reason verdict.Reason) { m.refusals.add(reason) }

// Failed counts a request that ended with the verdict may-have-run for the reason.
func (m *Metrics) Failed(reason verdict.Reason) { m.failures.add(reason) }

// Retried counts an attempt that was followed by another one for the reason.
func (m *Metrics) Retried(reason verdict.Reason) { m.retries.add(reason) }

// StoreCall counts one call of the platform store. A long-running watch counts as one call.
func (m *Metrics) StoreCall(kind StoreCall) { m.store.add(kind, 1) }

// LinkBytes counts bytes that the node sent or received for the purpose.
func (m *Metrics) LinkBytes(purpose Purpose, direction Direction, bytes int64) {
	m.link.add(linkKey{purpose, direction}, bytes)
}

// Latency records the time from acceptance to the last byte of one request of the service.
func (m *Metrics) Latency(service model.ServiceName, latency time.Duration) {
	m.latencies.record(service, latency)
}

// RotateLatencies begins a new window of the latency summaries, which cover the current and the previous window. The
// daemon calls it every minute.
func (m *Metrics) RotateLatencies() { m.latencies.rotate() }

// RequestStarted counts a request as accepted and in flight.
func (m *Metrics) RequestStarted() {
	m.accepted.Add(1)
	m.inFlight.Add(1)
}

// RequestEnded counts a request as no longer in flight.
func (m *Metrics) RequestEnded() { m.inFlight.Add(-1) }

// SetSnapshotRevision sets the number of the routing snapshot in use.
func (m *Metrics) SetSnapshotRevision(revision int64) { m.snapshotRevision.Set(revision) }

// SetConfigRevision sets the store revision of the active configuration.
func (m *Metrics) SetConfigRevision(revision int64) { m.configRevision.Set(revision) }

// InFlight returns the number of requests in flight that the node accepted.
func (m *Metrics) InFlight() int64 { return m.inFlight.Value() }

// Refusals returns the refusals by reason; every reason is present.
func (m *Metrics) Refusals() map[verdict.Reason]int64 { return m.refusals.values() }

// Failures returns the failures by reason; every reason is present.
func (m *Metrics) Failures() map[verdict.Reason]int64 { return m.failures.values() }

// Retries returns the retries by reason; every reason is present.
func (m *Metrics) Retries() map[verdict.Reason]int64 { return m.retries.values() }

// StoreCallCount returns the number of calls of the kind.
func (m *Metrics) StoreCallCount(kind StoreCall) int64 { return m.store.value(kind) }

// LinkByteCount returns the number of bytes for the purpose and direction.
func (m *Metrics) LinkByteCount(purpose Purpose, direction Direction) int64 {
	return m.link.value(linkKey{purpose, direction})
}

// LatencySummary returns the summary of the service, all zero if it had no request.
func (m *Metrics) LatencySummary(service model.ServiceName) Summary {
	return m.latencies.summary(service)
}
