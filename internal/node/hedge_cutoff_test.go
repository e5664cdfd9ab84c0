package node

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against a hedge of a stopping node that starts too late to end before the cutoff, or before a healthy first
// attempt had time to end.
func TestHedgeBeforeCutoff(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct{ baseline, elapsed, remaining, want time.Duration }{
		"time for both attempts":           {baseline: s, elapsed: 0, remaining: 5 * s, want: 2 * s},
		"time for a hedge only":            {baseline: s, elapsed: 2 * s, remaining: 3 * s, want: 0},
		"first attempt gets its baseline":  {baseline: 2 * s, elapsed: s, remaining: 5 * s, want: s},
		"first attempt exceeds baseline":   {baseline: 2 * s, elapsed: 3 * s, remaining: 5 * s, want: 0},
		"half of the time for each":        {baseline: 4 * s, elapsed: 0, remaining: 5 * s, want: 5 * s / 2},
		"cutoff has passed":                {baseline: s, elapsed: 0, remaining: -s, want: 0},
		"short runs get the minimum delay": {baseline: time.Millisecond, elapsed: 0, remaining: s, want: s - minHedgeDelay},
	} {
		if got := hedgeDelayBeforeCutoff(c.baseline, c.elapsed, c.remaining); got != c.want {
			t.Errorf("%s: hedged after %s, want %s", name, got, c.want)
		}
	}
}

// hedgeLog records whether a hedge was refused because its target is draining.
type hedgeLog struct {
	hedged, refused atomic.Bool
}

func (l *hedgeLog) Write(_ events.Severity, line string) {
	switch {
	case strings.Contains(line, "request_hedged"):
		l.hedged.Store(true)
	case strings.Contains(line, `outcome="target_draining"`) && strings.Contains(line, "attempt_ended"):
		l.refused.Store(l.hedged.Load())
	}
}

// usualDurationInTest is the usual duration of an attempt in the tests of repeated hedges, and aheadInTest the time that their
// stopping node has left: a hedge is due within usualDurationInTest, and there is time to repeat it.
const (
	usualDurationInTest = time.Second
	aheadInTest         = hedgeDelayFactor * usualDurationInTest
)

// cutoffInTest is the time that a stopping node has left for its open requests.
const cutoffInTest = 500 * time.Millisecond

// Guards against a stopping node that gives up the request of a hanging target because an earlier hedge was refused.
func TestRefusedHedgeIsTriedAgainBeforeTheCutoff(t *testing.T) {
	first, second := newBlockingTarget(t, "one"), newBlockingTarget(t, "two")
	close(second.released)
	a, address := startHedging(t, first, second)
	log := new(hedgeLog)
	a.log = events.New(log, time.Now)
	a.admitter.setOperatorDrains(map[model.TargetID]bool{"t2": true})
	response := make(chan string, 1)
	go func() { response <- get(t, address) }()
	for !log.refused.Load() {
		time.Sleep(time.Millisecond)
	}
	a.admitter.setOperatorDrains(nil)
	announceCutoff(a, cutoffInTest)
	if got := <-response; got != "200 two" {
		t.Errorf("response %q, want that of the second target", got)
	}
}

// Guards against a stopping node that gives up the request of a hanging target because no other target was known when its
// hedge was due.
func TestHedgeWithoutAnotherTargetIsTriedAgainBeforeTheCutoff(t *testing.T) {
	first, second := newBlockingTarget(t, "one"), newBlockingTarget(t, "two")
	close(second.released)
	a, address := startHedging(t, first, second)
	a.attemptDurations.add("/s", usualDurationInTest)
	both := a.view.Load()
	a.view.Store(viewWithTargets(a, "t1"))
	response := make(chan string, 1)
	go func() { response <- get(t, address) }()
	for first.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * minHedgeDelay)
	announceCutoff(a, aheadInTest)
	time.Sleep(usualDurationInTest)
	a.view.Store(both)
	select {
	case got := <-response:
		if got != "200 two" {
			t.Errorf("response %q, want that of the second target", got)
		}
	case <-time.After(10 * refusedHedgeInterval):
		close(first.released)
		t.Errorf("no hedge; response %q", <-response)
	}
}

// viewWithTargets returns the view of startHedging with the given one of its targets only.
func viewWithTargets(a *acceptor, id model.TargetID) *core.View {
	record := &model.NodeRecord{Node: a.self}
	for _, target := range a.admitter.targets() {
		if target.ID == id {
			record.Targets = append(record.Targets, target)
		}
	}
	service := &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s", ObjectiveMS: 200}}}
	return core.BuildView(core.Inputs{
		Self:    a.self,
		Config:  &config.Snapshot{Services: map[model.ServiceName]*declaration.Service{"s": service}},
		Members: &membership.Snapshot{Members: map[model.NodeID]membership.Member{"n1": {Record: record}}},
		Loads:   newLoads().of,
	})
}

// Guards against a stopping node that makes no further attempt after all other targets have refused the hedge.
func TestHedgeRefusedDuringShutdownIsTriedAgain(t *testing.T) {
	first, second := newBlockingTarget(t, "one"), newBlockingTarget(t, "two")
	close(second.released)
	a, address := startHedging(t, first, second)
	a.attemptDurations.add("/s", usualDurationInTest)
	log := new(hedgeLog)
	a.log = events.New(log, time.Now)
	a.admitter.setOperatorDrains(map[model.TargetID]bool{"t2": true})
	response := make(chan string, 1)
	go func() { response <- get(t, address) }()
	for first.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	announceCutoff(a, aheadInTest)
	for !log.refused.Load() {
		time.Sleep(time.Millisecond)
	}
	// The refused attempt has ended before the target is free again.
	time.Sleep(refusedHedgeInterval / 3)
	a.admitter.setOperatorDrains(nil)
	select {
	case got := <-response:
		if got != "200 two" {
			t.Errorf("response %q, want that of the second target", got)
		}
	case <-time.After(10 * refusedHedgeInterval):
		close(first.released)
		t.Errorf("no further attempt; response %q", <-response)
	}
}
