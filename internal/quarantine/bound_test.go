package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/model"
)

const crashing Fingerprint = 0xdead

const (
	boundNodes   = 4
	boundTargets = 12
)

// sender is an accepting node that receives the crashing request repeatedly.
type sender struct {
	table *Table
	// at holds the targets that are running the request for this node.
	at map[model.TargetID]bool
	// informed is set when the table first contains a loss; targetsAtFirstUpdate is the number of targets that were
	// running the request at that time.
	informed             bool
	targetsAtFirstUpdate int
	// lost is the number of upstreams that crashed while they ran the request for this node.
	lost int
}

type crashSimulation struct {
	senders [boundNodes]*sender
	crashes map[model.TargetID]uint64
	now     time.Duration
	total   int
}

func newCrashSimulation() *crashSimulation {
	sim := &crashSimulation{crashes: make(map[model.TargetID]uint64)}
	for i := range sim.senders {
		sim.senders[i] = &sender{table: New(), at: make(map[model.TargetID]bool)}
	}
	return sim
}

// recordFirstUpdate records the number of running targets when the node's table first contains a loss.
func (sim *crashSimulation) recordFirstUpdate(s *sender) {
	if !s.informed && s.table.losses(sim.now, crashing) > 0 {
		s.informed = true
		s.targetsAtFirstUpdate = len(s.at)
	}
}

func (sim *crashSimulation) send(s *sender, target model.TargetID) bool {
	if !s.table.MayRun(sim.now, crashing, target).Allowed {
		return false
	}
	s.table.Start(crashing, target)
	s.at[target] = true
	return true
}

// crash ends all runs at the target.
func (sim *crashSimulation) crash(target model.TargetID) {
	sim.crashes[target]++
	sim.total++
	loss := Loss{Target: target, Serial: sim.crashes[target]}
	for _, s := range sim.senders {
		if !s.at[target] {
			continue
		}
		s.lost++
		targets := len(s.at)
		s.table.RecordLoss(sim.now, loss)
		delete(s.at, target)
		if !s.informed {
			s.informed, s.targetsAtFirstUpdate = true, targets
		}
	}
}

func (sim *crashSimulation) propagate(from, to *sender) {
	for _, entry := range from.table.Entries(sim.now) {
		to.table.Merge(sim.now, entry)
	}
	sim.recordFirstUpdate(to)
}

func (sim *crashSimulation) propagateAll() {
	for _, from := range sim.senders {
		for _, to := range sim.senders {
			sim.propagate(from, to)
		}
	}
}

// Guards against a crashing request that crashes more upstreams than the bound. The bound of one node is the number of
// targets that were running the request when the node first received a loss, but at least LossLimit. It applies with
// and without updates from other nodes.
func TestBoundPerNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newCrashSimulation()
		pick := func(t *rapid.T) *sender { return rapid.SampledFrom(sim.senders[:]).Draw(t, "node") }
		target := func(t *rapid.T) model.TargetID {
			return model.TargetID(fmt.Sprint(rapid.IntRange(1, boundTargets).Draw(t, "target")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) { sim.send(pick(t), target(t)) },
			"crash": func(t *rapid.T) {
				s := pick(t)
				if to := target(t); s.at[to] {
					sim.crash(to)
				}
			},
			"exchange": func(t *rapid.T) { sim.propagate(pick(t), pick(t)) },
			"": func(t *rapid.T) {
				for i, s := range sim.senders {
					if s.lost > max(LossLimit, s.targetsAtFirstUpdate) {
						t.Fatalf("node %d lost %d upstreams, %d ran the request at the first update", i, s.lost, s.targetsAtFirstUpdate)
					}
				}
			},
		})
	})
}

// Guards against a caller that retries a crashing request through one node after another. With updates between the
// client retries, two upstreams are lost; without any updates, LossLimit per node.
func TestBoundOfSequentialClientRetries(t *testing.T) {
	for _, test := range []struct {
		updates bool
		want    int
	}{{true, LossLimit}, {false, LossLimit * boundNodes}} {
		sim := newCrashSimulation()
		for retry := range 10 * boundNodes {
			s := sim.senders[retry%boundNodes]
			target := model.TargetID(fmt.Sprint(retry % boundTargets))
			if sim.send(s, target) {
				sim.crash(target)
			}
			if test.updates {
				sim.propagateAll()
			}
		}
		if sim.total != test.want {
			t.Errorf("updates %v: %d upstreams lost, want %d", test.updates, sim.total, test.want)
		}
	}
}

// Guards against concurrent client retries through all nodes that continue after an update about a loss. Only the
// upstreams that were running the request at that time may be lost.
func TestBoundOfConcurrentClientRetries(t *testing.T) {
	const copies = 3
	sim := newCrashSimulation()
	var targets []model.TargetID
	for i, s := range sim.senders {
		for c := range copies {
			target := model.TargetID(fmt.Sprint(i*copies + c))
			targets = append(targets, target)
			if !sim.send(s, target) {
				t.Fatal("a request without losses was refused")
			}
		}
	}
	for _, target := range targets {
		sim.crash(target)
		sim.propagateAll()
		for _, s := range sim.senders {
			if sim.send(s, "fresh") {
				t.Fatal("a request with a loss runs at a second target")
			}
		}
	}
	if want := boundNodes * copies; sim.total != want {
		t.Errorf("%d upstreams lost, want %d", sim.total, want)
	}
}
