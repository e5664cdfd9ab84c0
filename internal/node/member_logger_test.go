package node

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

type eventNameSink struct{ names []string }

func (l *eventNameSink) Write(_ events.Severity, line string) {
	l.names = append(l.names, strings.TrimSuffix(strings.Fields(line)[1], ":"))
}

// Guards against missing events when a node becomes unresponsive, responds again, leaves or restarts, and against events
// without a change.
func TestMemberChangesAreLogged(t *testing.T) {
	log := new(eventNameSink)
	w := newMemberLogger(model.Node{ID: "self", Region: "r1"}, events.New(log, time.Now))
	steps := []struct {
		incarnation model.Incarnation
		state       membership.State
		stopping    bool
		want        []string
	}{
		{1, membership.Alive, false, []string{"node_joined"}},
		{1, membership.Alive, false, nil},
		{1, membership.Suspected, false, []string{"node_silent", "region_unreachable"}},
		{1, membership.Dead, false, nil},
		{1, membership.Alive, false, []string{"node_heard", "region_reachable"}},
		{1, membership.Alive, true, []string{"node_left"}},
		{2, membership.Alive, false, []string{"node_joined"}},
	}
	for i, step := range steps {
		log.names = nil
		record := &model.NodeRecord{Node: model.Node{ID: "n", Incarnation: step.incarnation, Region: "r2"}, Stopping: step.stopping}
		w.logChanges(time.Duration(i)*time.Second, &membership.Snapshot{Members: map[model.NodeID]membership.Member{
			"n": {Record: record, State: step.state},
		}})
		slices.Sort(log.names)
		if !slices.Equal(log.names, step.want) {
			t.Errorf("step %d: events %v, want %v", i, log.names, step.want)
		}
	}
}
