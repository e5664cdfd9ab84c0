package distribution_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

var changeRoutes = flag.Int("change-routes", addedRoutes, "routes of the configuration in TestChangeOfOneRouteCostsWhatChanged")

const (
	// grownBound is the time within which an acknowledged change has to be active on the nodes of a large deployment
	// (configApplyS).
	grownBound = 3 * time.Second
	// startBound is the time after its start in which traffic begins on a large deployment.
	startBound = 10 * time.Second
	// settleTime is the time after which a fleet whose members are known is calm.
	settleTime = 10 * time.Second
	// grownNodes is the number of nodes of a large deployment.
	grownNodes = 106
	// addedRoutes is the number of routes that one change adds to a large configuration.
	addedRoutes = 1400
)

// largeService returns a service with the path as its first route and the given number of further routes.
func largeService(name, path string, routes int) *declaration.Service {
	random := rand.New(rand.NewPCG(26, uint64(len(name))))
	service := &declaration.Service{Name: model.ServiceName(name), Routes: []declaration.Route{{Path: path}}}
	for range routes {
		service.Routes = append(service.Routes, declaration.Route{
			Host: fmt.Sprintf("%06x.example", random.Uint32()>>8), Path: fmt.Sprintf("/%08x/", random.Uint32()), BelowOnly: true,
			Class: declaration.Idempotent, TimeoutMS: 8000, ObjectiveMS: 1500, MaxAttempts: 3,
		})
	}
	return service
}

// declareLarge writes a service with the path as its first route and the given number of further routes.
func (f *fleet) declareLarge(name, path string, routes int) {
	value, err := largeService(name, path, routes).Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	f.put("config/services/"+name, value)
}

// startLarge starts grownNodes nodes and waits until the fleet is calm.
func (f *fleet) startLarge() []*testNode {
	nodes := f.startMany(grownNodes)
	f.waitFor(time.Minute, "readiness", nodes, ready)
	f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(grownNodes))
	time.Sleep(settleTime)
	return nodes
}

// Guards against many routes that are added at once and come late because all nodes receive them over narrow links at the same time.
func TestManyAddedRoutesAreActiveWithinTheBound(t *testing.T) {
	t.Parallel()
	runInFleet(t, func(f *fleet) {
		newLinkWorld(f, grownNodes)
		f.declareLarge("ledger", "/v1", 30)
		nodes := f.startLarge()
		f.declareLarge("ledger", "/v2", addedRoutes)
		took := f.waitFor(grownBound, "the added routes", nodes, hasRoute("ledger", "/v2"))
		t.Logf("active after %v", took)
	})
}

// Guards against a change of one route that sends all routes again.
func TestChangeOfOneRouteCostsWhatChanged(t *testing.T) {
	t.Parallel()
	runInFleet(t, func(f *fleet) {
		newLinkWorld(f, grownNodes)
		f.declareLarge("ledger", "/v0", 30)
		nodes := f.startLarge()
		f.declareLarge("ledger", "/v1", *changeRoutes)
		f.waitFor(time.Minute, "the added routes", nodes, hasRoute("ledger", "/v1"))
		time.Sleep(settleTime)
		before := f.bytes.Load()
		time.Sleep(grownBound)
		idle := f.bytes.Load() - before
		before = f.bytes.Load()
		f.declareLarge("ledger", "/v2", *changeRoutes)
		time.Sleep(grownBound)
		f.waitFor(0, "the changed route", nodes, hasRoute("ledger", "/v2"))
		perNode := (f.bytes.Load() - before - idle) / grownNodes
		if limit := int64(16 << 10); perNode > limit {
			t.Errorf("a change of one of %d routes costs %d bytes a node, limit %d", *changeRoutes, perNode, limit)
		}
		t.Logf("%d bytes a node", perNode)
	})
}

// Guards against nodes that start together, give up the large answers of the store over their shared links, and request them again.
func TestNodesThatStartTogetherWithManyRoutesAreReady(t *testing.T) {
	t.Parallel()
	runInFleet(t, func(f *fleet) {
		newLinkWorld(f, grownNodes)
		f.declareLarge("ledger", "/v1", addedRoutes)
		took := f.waitFor(startBound, "readiness", f.startMany(grownNodes), ready)
		t.Logf("ready after %v", took)
	})
}

// Guards against many routes that come late on nodes that start while they are distributed.
func TestManyAddedRoutesAreActiveWithinTheBoundWhileNodesRestart(t *testing.T) {
	t.Parallel()
	runInFleet(t, func(f *fleet) {
		w := newLinkWorld(f, grownNodes)
		f.declareLarge("ledger", "/v1", 30)
		nodes := f.startLarge()
		restarted, kept := nodes[:grownNodes/3], nodes[grownNodes/3:]
		var restarts sync.WaitGroup
		defer restarts.Wait()
		restarts.Go(func() { w.restartInTurn(restarted, kept, 100*time.Millisecond) })
		time.Sleep(time.Second)
		for version := range 3 {
			path := fmt.Sprintf("/many-%d", version)
			f.declareLarge("ledger", path, addedRoutes+version)
			took := f.waitFor(grownBound, "the change "+path, kept, hasRoute("ledger", path))
			t.Logf("%s: active after %v", path, took)
		}
	})
}

// restartInTurn stops the nodes and starts them again one after the other, with another node as their seed.
func (w *linkWorld) restartInTurn(nodes, others []*testNode, gap time.Duration) {
	for i, node := range nodes {
		w.fleet.stop(node)
		time.Sleep(gap)
		w.fleet.start(i, others[i%len(others)].self.PeerAddress)
	}
}
