package metrics_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/metrics"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// published returns the metrics decoded from their expvar text.
func published(t *testing.T, m *metrics.Metrics) map[string]any {
	t.Helper()
	var all map[string]any
	if err := json.Unmarshal([]byte(m.Var().String()), &all); err != nil {
		t.Fatal(err)
	}
	return all
}

// Guards against a reason without a counter of its own for refusals, failures and retries, or without an event.
func TestEveryReasonIsCounted(t *testing.T) {
	m := metrics.New()
	for i, reason := range verdict.Reasons() {
		for range i + 1 {
			m.Refused(reason)
			m.Failed(reason)
			m.Retried(reason)
		}
	}
	all := published(t, m)
	for i, reason := range verdict.Reasons() {
		want := int64(i + 1)
		if m.Refusals()[reason] != want || m.Failures()[reason] != want || m.Retries()[reason] != want {
			t.Errorf("reason %s is not counted %d times", reason, want)
		}
		for _, table := range []string{"refusals", "failures", "retries"} {
			if got := all[table].(map[string]any)[string(reason)]; got != float64(want) {
				t.Errorf("%s of %s published as %v, want %d", table, reason, got, want)
			}
		}
		if !strings.HasSuffix(events.ForReason(reason).Name, string(reason)) {
			t.Errorf("reason %s has no event", reason)
		}
	}
	m.Refused("no such reason")
	if got := published(t, m)["refusals"].(map[string]any)["other"]; got != 1.0 {
		t.Errorf("an unknown reason is counted as %v in other", got)
	}
}

// Guards against a method of the store without a kind of call.
func TestEveryStoreMethodHasAKind(t *testing.T) {
	methods := reflect.TypeFor[store.Store]()
	kinds := make(map[string]bool)
	for _, kind := range metrics.StoreCalls() {
		kinds[strings.ReplaceAll(string(kind), "_", "")] = true
	}
	for i := range methods.NumMethod() {
		if name := methods.Method(i).Name; !kinds[strings.ToLower(name)] {
			t.Errorf("the store's %s has no kind of call", name)
		}
	}
	if len(kinds) != methods.NumMethod() {
		t.Errorf("%d kinds for %d methods", len(kinds), methods.NumMethod())
	}
}

// Guards against bytes, calls and gauges that are published under another name or not at all.
func TestPublishedNames(t *testing.T) {
	m := metrics.New()
	m.StoreCall(metrics.StoreWatch)
	m.LinkBytes(metrics.PurposeExchange, metrics.Sent, 700)
	m.LinkBytes(metrics.PurposeExchange, metrics.Received, 300)
	m.SetSnapshotRevision(5)
	m.SetConfigRevision(6)
	m.RequestStarted()
	m.RequestStarted()
	m.RequestEnded()
	m.Latency("ledger", time.Second)
	all := published(t, m)
	got := fmt.Sprint(
		all["store_calls"].(map[string]any)["watch"], all["link_bytes"].(map[string]any)["exchange.sent"],
		all["link_bytes"].(map[string]any)["exchange.received"], all["snapshot_revision"], all["config_revision"],
		all["requests_in_flight"], all["requests_accepted"], all["latency"].(map[string]any)["ledger"].(map[string]any)["count"],
	)
	if want := "1 700 300 5 6 1 2 1"; got != want {
		t.Errorf("published %s, want %s", got, want)
	}
	if m.StoreCallCount(metrics.StoreWatch) != 1 || m.LinkByteCount(metrics.PurposeExchange, metrics.Sent) != 700 || m.InFlight() != 1 {
		t.Error("the counters read back differ from those published")
	}
}

// Guards against percentiles with an error above that of two significant digits, and against windows that keep old
// latencies. The histograms have an error of 1%.
func TestLatencySummary(t *testing.T) {
	m := metrics.New()
	for ms := 1; ms <= 1000; ms++ {
		m.Latency("ledger", time.Duration(ms)*time.Millisecond)
	}
	m.Latency("ledger", time.Hour)
	summary := m.LatencySummary("ledger")
	near := func(got, want time.Duration) bool { return (got - want).Abs() <= want/50 }
	if summary.Count != 1001 || !near(summary.P50, 500*time.Millisecond) || !near(summary.P99, 990*time.Millisecond) || !near(summary.Max, 10*time.Minute) {
		t.Errorf("summary %+v", summary)
	}
	m.RotateLatencies()
	m.Latency("ledger", time.Millisecond)
	if got := m.LatencySummary("ledger").Count; got != 1002 {
		t.Errorf("two windows hold %d, want 1002", got)
	}
	m.RotateLatencies()
	if got := m.LatencySummary("ledger"); got.Count != 1 || !near(got.P99, time.Millisecond) {
		t.Errorf("after two rotations: %+v", got)
	}
	if got := m.LatencySummary("absent"); got != (metrics.Summary{}) {
		t.Errorf("a service without requests: %+v", got)
	}
}

// Guards against memory that grows with the number of services, and against latencies lost beyond the limit.
func TestLatencyServicesAreBounded(t *testing.T) {
	m := metrics.New()
	for i := range 1030 {
		m.Latency(model.ServiceName(fmt.Sprint("s", i)), time.Millisecond)
	}
	latency := published(t, m)["latency"].(map[string]any)
	if len(latency) != 1025 || latency["(other)"].(map[string]any)["count"] != 6.0 {
		t.Errorf("%d services published, other %v", len(latency), latency["(other)"])
	}
}

// Guards against counts lost under concurrent use, and against data races if the test runs with the race detector.
func TestConcurrentUse(t *testing.T) {
	m := metrics.New()
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for i := range 500 {
				m.Latency(model.ServiceName(fmt.Sprint("s", i%3)), time.Millisecond)
				m.Refused(verdict.SlotsFull)
				if i%100 == 0 {
					_ = m.Var().String()
				}
			}
		})
	}
	group.Wait()
	if m.Refusals()[verdict.SlotsFull] != 4000 || m.LatencySummary("s0").Count != 8*167 {
		t.Errorf("%d refusals, summary %+v", m.Refusals()[verdict.SlotsFull], m.LatencySummary("s0"))
	}
}

// Guards against a second Publish that ends the process.
func TestPublishTwice(t *testing.T) {
	m := metrics.New()
	// Each run needs a name of its own for go test -count=2, because expvar keeps names until the process ends.
	name := fmt.Sprintf("sardinereach-test-%p", m)
	if err := metrics.Publish(name, m); err != nil {
		t.Fatal(err)
	}
	if err := metrics.Publish(name, metrics.New()); err == nil {
		t.Error("the name was published twice")
	}
}
