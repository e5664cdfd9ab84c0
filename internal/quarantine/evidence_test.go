package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

const popular Fingerprint = 0xbeef

// succeed runs the fingerprint at the target with success.
func succeed(table *Table, now time.Duration, fingerprint Fingerprint, target model.TargetID) {
	table.Start(fingerprint, target)
	table.Finish(now, fingerprint, target, true)
}

// exchange merges the entries of each table into all others.
func exchange(now time.Duration, tables ...*Table) {
	for range 2 {
		for _, from := range tables {
			for _, to := range tables {
				propagateEntries(from, to, now)
			}
		}
	}
}

// Guards against a sound request that is quarantined because the targets of a failure domain, at which it runs at every moment,
// are lost at once.
func TestLossOfDomainDoesNotQuarantineSoundRequest(t *testing.T) {
	var tables []*Table
	for i := range 3 {
		table, target := New(), model.TargetID(fmt.Sprint(i))
		succeed(table, 0, popular, target)
		table.Start(popular, target)
		tables = append(tables, table)
	}
	for i, table := range tables {
		table.RecordLoss(time.Second, Loss{Target: model.TargetID(fmt.Sprint(i)), Serial: 1})
	}
	exchange(time.Second, tables...)
	for i, table := range tables {
		if decision := table.MayRun(time.Second, popular, "elsewhere"); !decision.Allowed {
			t.Errorf("node %d: %+v", i, decision)
		}
	}
	succeed(tables[0], 2*time.Second, popular, "elsewhere")
	exchange(2*time.Second, tables...)
	for i, table := range tables {
		if table.losses(2*time.Second, popular) != 0 {
			t.Errorf("node %d: the success did not clear the losses", i)
		}
	}
}

// Guards against a request that goes on crashing targets because it has succeeded before, and against a quarantine that ends with
// the success of a run that had begun before.
func TestIsolatedLossesQuarantineInSpiteOfSuccesses(t *testing.T) {
	table := New()
	succeed(table, 0, popular, "a")
	table.Start(popular, "b")
	for serial, target := range []model.TargetID{"a", "c", "d"} {
		if !table.MayRun(time.Second, popular, target).Allowed && target != "c" {
			t.Fatalf("not allowed at %s", target)
		}
		table.Start(popular, target)
		table.RecordLoss(time.Second, Loss{Target: target, Serial: uint64(serial)})
		if target == "a" {
			table.Finish(time.Second, popular, "b", false)
		}
	}
	if !table.MayRun(time.Second, popular, "e").Quarantined {
		t.Fatal("two losses of runs that began after the first one do not quarantine")
	}
	succeed(table, time.Second, popular, "e")
	if !table.MayRun(time.Second, popular, "e").Quarantined {
		t.Error("a success that was no probe ended a confirmed quarantine")
	}
}

// Guards against a request that is refused for half an hour although a run of it succeeds after the losses of one event.
func TestSuccessEndsUnconfirmedQuarantine(t *testing.T) {
	table := New()
	for _, target := range []model.TargetID{"a", "b", "c"} {
		table.Start(popular, target)
	}
	table.RecordLoss(0, Loss{Target: "a", Serial: 1})
	table.RecordLoss(0, Loss{Target: "b", Serial: 1})
	if !table.MayRun(0, popular, "d").Quarantined {
		t.Fatal("two losses without a success do not quarantine")
	}
	if _, cleared := table.Finish(time.Second, popular, "c", true); !cleared || !table.MayRun(time.Second, popular, "d").Allowed {
		t.Error("the success did not end the quarantine")
	}
}

// Guards against a sound request that is refused for half an hour because nothing can show that it is sound.
func TestSuccessOfProbeEndsQuarantine(t *testing.T) {
	table := quarantinedTable()
	if table.ProbeDue(unconfirmedProbeDelay-1, crashing) {
		t.Error("a probe is due at once")
	}
	if !table.ProbeDue(unconfirmedProbeDelay, crashing) || table.ProbeDue(unconfirmedProbeDelay, crashing) {
		t.Error("the probe is not due, or for two requests of a node")
	}
	claimed, ok := table.ClaimProbe(unconfirmedProbeDelay, crashing)
	if !ok || !table.Merge(unconfirmedProbeDelay, claimed) {
		t.Fatal("the probe is not claimed")
	}
	if _, ok := table.ClaimProbe(unconfirmedProbeDelay, crashing); ok {
		t.Error("the probe was claimed twice")
	}
	if !table.MayRun(unconfirmedProbeDelay, crashing, "c").Quarantined {
		t.Error("the claim allows other requests")
	}
	table.StartProbe(crashing, "c")
	if table.MayProbe(unconfirmedProbeDelay, crashing, "d", claimed.Probe()).Allowed {
		t.Error("a second run during the probe")
	}
	if _, cleared := table.Finish(unconfirmedProbeDelay, crashing, "c", true); !cleared {
		t.Error("the success of the probe did not end the quarantine")
	}
}

func quarantinedTable() *Table {
	table := New()
	for _, target := range []model.TargetID{"a", "b"} {
		table.Start(crashing, target)
	}
	table.RecordLoss(0, Loss{Target: "a", Serial: 1})
	table.RecordLoss(0, Loss{Target: "b", Serial: 1})
	return table
}

// Guards against probes that let a crashing request reach many targets.
func TestProbesOfCrashingRequestAreRare(t *testing.T) {
	const (
		period = 10 * time.Minute
		// maxProbes is the number of retries that the platform allows after the third crash.
		maxProbes = 3
	)
	table := quarantinedTable()
	probes := 0
	for now := time.Duration(0); now < period; now += time.Second {
		if !table.MayRun(now, crashing, "c").Quarantined {
			t.Fatalf("allowed after %v", now)
		}
		if !table.ProbeDue(now, crashing) {
			continue
		}
		claimed, ok := table.ClaimProbe(now, crashing)
		if !ok {
			continue
		}
		table.Merge(now, claimed)
		table.StartProbe(crashing, "c")
		probes++
		table.RecordLoss(now, Loss{Target: "c", Serial: uint64(probes)})
	}
	if probes == 0 || probes > maxProbes {
		t.Errorf("%d probes in %v", probes, period)
	}
}

// Guards against a probe of a request that an operator has quarantined.
func TestOperatorsQuarantineIsNotProbed(t *testing.T) {
	table := New()
	table.Merge(0, Entry{Fingerprint: crashing, Losses: []Loss{
		{Target: "operator", Serial: 1, Evidence: Ordered}, {Target: "operator", Serial: 2, Evidence: Ordered},
	}})
	for now := time.Duration(0); now < QuarantineTTL; now += time.Minute {
		if table.ProbeDue(now, crashing) || !table.MayRun(now, crashing, "a").Quarantined {
			t.Fatalf("after %v the order is not in force", now)
		}
	}
}
