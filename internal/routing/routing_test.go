package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against a less specific route taking the requests of a more specific one, for example a non-idempotent
// "POST /a/b" handled by an idempotent "/a".
func TestMatchPrefersTheMostSpecificRoute(t *testing.T) {
	table := NewTable([]*declaration.Service{
		{Name: "whole", Routes: []declaration.Route{{Path: "/"}}},
		{Name: "a", Routes: []declaration.Route{{Path: "/a"}, {Path: "/a/b", Methods: []string{"POST"}}}},
		{Name: "hosted", Routes: []declaration.Route{{Path: "/a", Host: "h.example"}}},
	})
	for _, c := range []struct{ host, method, path, want string }{
		{"x", "GET", "/", "whole /"},
		{"x", "GET", "/ab", "whole /"},
		{"x", "GET", "/a", "a /a"},
		{"x", "GET", "/a/", "a /a"},
		{"x", "GET", "/a/b/c", "a /a"},
		{"x", "POST", "/a/b/c", "a /a/b"},
		{"h.example", "POST", "/a/b/c", "hosted /a"},
		{"h.example", "GET", "/z", "whole /"},
	} {
		m := table.Match(c.host, c.method, c.path)
		if got := fmt.Sprintf("%s %s", m.Service.Name, m.Route.Path); got != c.want {
			t.Errorf("%s %s %s: got %s, want %s", c.host, c.method, c.path, got, c.want)
		}
	}
	// The request "OPTIONS *" has no path and once made Match panic.
	if m := table.Match("x", "OPTIONS", "*"); m != nil {
		t.Errorf("the path * matched %v", m)
	}
	if m := NewTable(nil).Match("x", "GET", "/"); m != nil {
		t.Errorf("an empty table matched %v", m)
	}
}

func testCandidates(n int) []*Candidate {
	out := make([]*Candidate, n)
	for i := range out {
		distance := Distance(i % 3)
		out[i] = &Candidate{
			Target:   model.Target{ID: model.TargetID(fmt.Sprintf("t%02d", i)), Slots: 4, RampSlots: 4},
			Distance: distance,
			Load:     new(Load),
		}
	}
	return out
}

// Guards against traffic over the inter-region link while a target in the region has a free slot, and against an attempt
// at a target that was already tried.
func TestPickPrefersTheRegionAndSkipsTriedTargets(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	candidates := testCandidates(12)
	pool := NewPool(candidates)
	for range 200 {
		if c := pool.Pick(new(Tried), rnd.Uint64()); c.Distance == OtherRegion {
			t.Fatalf("picked %s in another region while targets in the region are idle", c.Target.ID)
		}
	}
	for _, c := range candidates {
		if c.Distance != OtherRegion {
			c.Load.OwnInFlight.Store(4)
		}
	}
	if c := pool.Pick(new(Tried), rnd.Uint64()); c.Distance != OtherRegion {
		t.Errorf("picked full target %s of the region while another region has free slots", c.Target.ID)
	}
	var tried Tried
	for range candidates {
		c := pool.Pick(&tried, rnd.Uint64())
		if c == nil || tried.Has(c.Target.ID) {
			t.Fatalf("pick %v was tried before or is missing", c)
		}
		tried.Add(c.Target.ID)
	}
	if c := pool.Pick(&tried, rnd.Uint64()); c != nil {
		t.Errorf("picked %s after every target was tried", c.Target.ID)
	}
}

// Guards against allocations on the request path.
func TestDecisionDoesNotAllocate(t *testing.T) {
	pool := NewPool(testCandidates(30))
	table := NewTable([]*declaration.Service{{Name: "a", Routes: []declaration.Route{{Path: "/a"}}}})
	allocs := testing.AllocsPerRun(100, func() {
		var tried Tried
		table.Match("h", "GET", "/a/b/c")
		c := pool.Pick(&tried, 12345)
		tried.Add(c.Target.ID)
		pool.Pick(&tried, 54321)
	})
	if allocs != 0 {
		t.Errorf("a routing decision made %v allocations, want 0", allocs)
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{8, 42, 400} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			pool := NewPool(testCandidates(targets))
			table := NewTable([]*declaration.Service{{Name: "a", Routes: []declaration.Route{{Path: "/a"}}}})
			b.ReportAllocs()
			seed := uint64(1)
			for b.Loop() {
				var tried Tried
				table.Match("h", "GET", "/a/b/c")
				pool.Pick(&tried, seed)
				seed = seed*6364136223846793005 + 1
			}
		})
	}
}
