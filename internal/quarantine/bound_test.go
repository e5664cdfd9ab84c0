package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/model"
)

const killer Fingerprint = 0xdead

const (
	boundNodes  = 4
	boundTarget = 12
)

// sender is an accepting node that gets the crashing request again and again.
type sender struct {
	table *Table
	// at holds the targets that run the request for this node.
	at map[model.TargetID]bool
	// known is set when the node first knows of a loss; atNews is the number of targets that ran the request then.
	known  bool
	atNews int
	// lost is the number of upstreams lost to the node's runs.
	lost int
}

type outbreak struct {
	senders [boundNodes]*sender
	crashes map[model.TargetID]uint64
	now     time.Duration
	total   int
}

func newOutbreak() *outbreak {
	o := &outbreak{crashes: make(map[model.TargetID]uint64)}
	for i := range o.senders {
		o.senders[i] = &sender{table: New(), at: make(map[model.TargetID]bool)}
	}
	return o
}

// note remembers what ran when a node first knew of a loss.
func (o *outbreak) note(s *sender) {
	if !s.known && s.table.losses(o.now, killer) > 0 {
		s.known = true
		s.atNews = len(s.at)
	}
}

func (o *outbreak) send(s *sender, target model.TargetID) bool {
	if !s.table.MayRun(o.now, killer, target).OK {
		return false
	}
	s.table.Start(killer, target)
	s.at[target] = true
	return true
}

// crash ends all runs at the target.
func (o *outbreak) crash(target model.TargetID) {
	o.crashes[target]++
	o.total++
	loss := Loss{Target: target, Serial: o.crashes[target]}
	for _, s := range o.senders {
		if !s.at[target] {
			continue
		}
		s.lost++
		news := len(s.at)
		s.table.Lose(o.now, loss)
		delete(s.at, target)
		if !s.known {
			s.known, s.atNews = true, news
		}
	}
}

func (o *outbreak) exchange(from, to *sender) {
	for _, entry := range from.table.Entries(o.now) {
		to.table.Merge(o.now, entry)
	}
	o.note(to)
}

func (o *outbreak) exchangeAll() {
	for _, from := range o.senders {
		for _, to := range o.senders {
			o.exchange(from, to)
		}
	}
}

// Guards against a crashing request that takes down more upstreams than the bound: through one node at most as many as
// ran it when the node first knew of a loss, or LossLimit if that is more, with or without news from other nodes.
func TestBoundPerNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOutbreak()
		pick := func(t *rapid.T) *sender { return rapid.SampledFrom(o.senders[:]).Draw(t, "node") }
		target := func(t *rapid.T) model.TargetID {
			return model.TargetID(fmt.Sprint(rapid.IntRange(1, boundTarget).Draw(t, "target")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) { o.send(pick(t), target(t)) },
			"crash": func(t *rapid.T) {
				s := pick(t)
				if to := target(t); s.at[to] {
					o.crash(to)
				}
			},
			"exchange": func(t *rapid.T) { o.exchange(pick(t), pick(t)) },
			"": func(t *rapid.T) {
				for i, s := range o.senders {
					if s.lost > max(LossLimit, s.atNews) {
						t.Fatalf("node %d lost %d upstreams, %d ran the request at the first news", i, s.lost, s.atNews)
					}
				}
			},
		})
	})
}

// Guards against a caller that sends a crashing request again through one node after another. With news between the
// resends, two upstreams are lost; without any news, LossLimit for each node.
func TestBoundOfSequentialResends(t *testing.T) {
	for _, test := range []struct {
		news bool
		want int
	}{{true, LossLimit}, {false, LossLimit * boundNodes}} {
		o := newOutbreak()
		for resend := range 10 * boundNodes {
			s := o.senders[resend%boundNodes]
			target := model.TargetID(fmt.Sprint(resend % boundTarget))
			if o.send(s, target) {
				o.crash(target)
			}
			if test.news {
				o.exchangeAll()
			}
		}
		if o.total != test.want {
			t.Errorf("news %v: %d upstreams lost, want %d", test.news, o.total, test.want)
		}
	}
}

// Guards against concurrent resends through all nodes that go on after the news: what was in flight when it came is
// lost, and nothing else.
func TestBoundOfConcurrentResends(t *testing.T) {
	const copies = 3
	o := newOutbreak()
	var targets []model.TargetID
	for i, s := range o.senders {
		for c := range copies {
			target := model.TargetID(fmt.Sprint(i*copies + c))
			targets = append(targets, target)
			if !o.send(s, target) {
				t.Fatal("an unknown request was held back")
			}
		}
	}
	for _, target := range targets {
		o.crash(target)
		o.exchangeAll()
		for _, s := range o.senders {
			if o.send(s, "fresh") {
				t.Fatal("a request with a loss runs at a second target")
			}
		}
	}
	if want := boundNodes * copies; o.total != want {
		t.Errorf("%d upstreams lost, want %d", o.total, want)
	}
}
