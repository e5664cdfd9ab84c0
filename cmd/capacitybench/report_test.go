package main

import (
	"strings"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

func sampleOf(processor time.Duration, resident, received, watches int64) sample {
	return sample{
		usage: fleettest.Usage{CPUTime: processor, ResidentBytes: resident},
		metrics: &fleettest.Metrics{
			LinkBytes:  map[string]int64{"exchange.received": received, "hello.sent": 0},
			StoreCalls: map[string]int64{"watch": watches},
		},
	}
}

// Guards against printing totals in place of increases, and against mixing up figures per node and per fleet.
func TestReportPrintsRatesPerSecond(t *testing.T) {
	before := []sample{sampleOf(time.Second, 1e6, 500, 10), sampleOf(time.Second, 1e6, 500, 10)}
	after := []sample{sampleOf(2*time.Second, 20e6, 1500, 30), sampleOf(4*time.Second, 30e6, 3500, 30)}
	var out strings.Builder
	report(&out, 10*time.Second, before, after)
	want := `nodes 2
  processor 20.00% of a core per node
  resident 25.0 MB per node, at most 30.0 MB
  exchange.received 200 B/s per node
  store watch 4.00/s in the fleet
`
	if out.String() != want {
		t.Errorf("report:\n%s\nwant:\n%s", &out, want)
	}
}
