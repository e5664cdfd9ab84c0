package distribution

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against a new watcher that no longer stands in although its first watch may begin RoundInterval later.
func TestNewWatcherStandsInUntilItsFirstWatch(t *testing.T) {
	record := &model.NodeRecord{Node: model.Node{ID: "n", Domain: "d", Region: "r", PeerAddress: "127.0.0.1:1"}}
	now := 20 * time.Second
	options := Options{Report: func(Event) {}, Now: func() time.Duration { return now }}
	d := &Distributor{
		options: options.withDefaults(), confirmation: newConfirmation(),
		tables: tables{members: membership.NewTable(record, membership.DefaultTiming())},
	}
	d.updateWatcherRole(d.currentView())
	if !d.watching || d.standInState().watcher {
		t.Error("a new watcher does not stand in before its first watch")
	}
	now += 2 * d.options.RoundInterval
	if !d.standInState().watcher {
		t.Error("a watcher still stands in after its first watch was due")
	}
}
