package quarantine

import (
	"testing"
	"time"
)

// Guards against a request that was delayed after it got its probe, in a paused process or in a queue, and that runs although the
// next probe has been given out, an operator has ordered the quarantine, or a later quarantine has begun.
func TestProbeThatHasRunOutDoesNotRun(t *testing.T) {
	const now = unconfirmedProbeDelay
	claim := func(table *Table, now time.Duration) ClaimedProbe {
		entry, ok := table.ClaimProbe(now, crashing)
		if !ok || !table.Merge(now, entry) {
			t.Fatalf("no probe at %v", now)
		}
		return entry.Probe()
	}
	for name, event := range map[string]func(table *Table) (at time.Duration){
		"the next probe": func(table *Table) time.Duration {
			claim(table, 10*now)
			return 10 * now
		},
		"an order": func(table *Table) time.Duration {
			table.Merge(now, Entry{Fingerprint: crashing, Losses: []Loss{
				{Target: "operator", Serial: 1, Evidence: Ordered}, {Target: "operator", Serial: 2, Evidence: Ordered},
			}})
			return now
		},
		"a later quarantine": func(table *Table) time.Duration {
			table.Release(now, crashing)
			table.Merge(now, Entry{Fingerprint: crashing, Epoch: 1, Losses: []Loss{{Target: "a", Serial: 8}, {Target: "b", Serial: 8}}})
			claim(table, 10*now)
			return 10 * now
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := quarantinedTable()
			probe := claim(table, now)
			if !table.MayProbe(now, crashing, "c", probe).Allowed {
				t.Fatal("a probe may not run")
			}
			at := event(table)
			if !table.MayProbe(at, crashing, "c", probe).Quarantined {
				t.Error("the probe may still run")
			}
		})
	}
}

// Guards against a refusal of a probe by a node that has not heard of its claim, or that has heard of the end of the quarantine.
func TestProbeRunsWhereItsClaimIsNotKnown(t *testing.T) {
	for name, table := range map[string]*Table{"nothing known": New(), "claim not known": quarantinedTable(), "released": quarantinedTable()} {
		if name == "released" {
			table.Release(0, crashing)
		}
		if !table.MayProbe(unconfirmedProbeDelay, crashing, "c", ClaimedProbe{Number: 1}).Allowed {
			t.Errorf("%s: the probe may not run", name)
		}
	}
}
