package distribution_test

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

var propagationSizes = flag.String("spread.sizes", "8,32", "fleet sizes of TestPropagationBySize, separated by commas")

// Guards against changes that take longer than activationLimit in a larger fleet, and reports the cost of the gossip.
func TestPropagationBySize(t *testing.T) {
	t.Parallel()
	for _, text := range strings.Split(*propagationSizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(fmt.Sprintf("nodes=%d", size), func(t *testing.T) {
			runInFleet(t, func(f *fleet) { measurePropagation(f, size) })
		})
	}
}

func measurePropagation(f *fleet, size int) {
	const changes, pause, idle = 10, 15 * time.Second, 30 * time.Second
	f.declare("ledger", "/v0")
	nodes := f.startMany(size)
	f.waitFor(2*time.Minute, "the members", nodes, hasLiveMembers(size))
	for _, node := range nodes {
		node.SetTargets([]model.Target{{ID: model.TargetID(node.self.ID), Service: "ledger", Phase: model.PhaseReady}})
	}
	time.Sleep(time.Minute)
	bytes, remote, pulls := f.bytes.Load(), f.remoteBytes.Load(), f.pulls.Load()
	time.Sleep(idle)
	perNode := float64(size) * idle.Seconds()
	f.t.Logf("idle: %.2f pulls/s and %.0f B/s per node, %.0f B/s between the regions",
		float64(f.pulls.Load()-pulls)/perNode, float64(f.bytes.Load()-bytes)/perNode,
		float64(f.remoteBytes.Load()-remote)/idle.Seconds())
	var longest, sum time.Duration
	for change := range changes {
		path := fmt.Sprint("/v", change+1)
		f.declare("ledger", path)
		took := f.waitFor(activationLimit, "the change", nodes, hasRoute("ledger", path))
		longest, sum = max(longest, took), sum+took
		time.Sleep(pause)
	}
	f.t.Logf("a change is active on all nodes after %v on average, %v at most, of %d changes",
		sum/changes, longest, changes)
	measurePhase(f, nodes)
}

// measurePhase reports how long a phase change of one target takes to reach its domain, its region and all nodes.
func measurePhase(f *fleet, nodes []*testNode) {
	const changes = 10
	var domain, region, all time.Duration
	for change := range changes {
		source := nodes[change%len(nodes)]
		phase := model.Phase(1 + change%2)
		source.SetTargets([]model.Target{{ID: "target", Service: "ledger", Phase: phase}})
		hasPhase := func(n *testNode) bool {
			targets := n.Snapshot().Members.Members[source.self.ID].Record.Targets
			return len(targets) == 1 && targets[0].ID == "target" && targets[0].Phase == phase
		}
		elapsed := f.waitFor(activationLimit, "the phase in the domain", nodes, func(n *testNode) bool {
			return n.self.Domain != source.self.Domain || hasPhase(n)
		})
		domain += elapsed
		elapsed += f.waitFor(activationLimit, "the phase in the region", nodes, func(n *testNode) bool {
			return n.self.Region != source.self.Region || hasPhase(n)
		})
		region += elapsed
		all += elapsed + f.waitFor(activationLimit, "the phase on all nodes", nodes, hasPhase)
	}
	f.t.Logf("a target's phase has reached its domain after %v, its region after %v and all nodes after %v on average",
		domain/changes, region/changes, all/changes)
}
