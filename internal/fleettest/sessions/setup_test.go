package sessions

import (
	"context"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

const (
	// sessionTimeout fails a session that hangs.
	sessionTimeout = 2 * time.Minute
	slots          = 4
)

// layout has four targets of reads, two in each region, and one target of operations.
var layout = fleettest.Layout{
	Domains: []fleettest.Domain{{Name: "hobart-a", Region: "tas-south"}, {Name: "launceston-a", Region: "tas-north"}},
	Services: []fleettest.Service{
		{Name: "reads", Targets: 4, Slots: slots, Path: "/reads"},
		{Name: "ops", Targets: 1, Slots: slots, Path: "/ops"},
	},
	Declarations: `declare service reads { floor 8 slots; policy dala; route GET "/reads" { timeout 10s; } }
declare service ops { policy dala; route POST "/ops" { class non-idempotent; timeout 10s; } }
`,
}

// testFleet is the fleet of one script, with a client.
type testFleet struct {
	*fleettest.Fleet
	ctx       context.Context
	caller    *fleettest.Client
	readCount int
}

type testFleetKey struct{}

func testFleetOf(ts *testscript.TestScript) *testFleet { return ts.Value(testFleetKey{}).(*testFleet) }

// fleets limits the number of concurrent fleets, because the machine is shared.
var fleets = make(chan struct{}, 2)

func startTestFleet(env *testscript.Env) error {
	fleets <- struct{}{}
	env.Defer(func() { <-fleets })
	ctx, cancel := context.WithTimeout(context.Background(), sessionTimeout)
	env.Defer(cancel)
	fleet, err := fleettest.Start(fleettest.Options{Layout: layout, Binaries: programs, Dir: env.WorkDir})
	if err != nil {
		return err
	}
	env.Defer(fleet.Close)
	s := &testFleet{Fleet: fleet, ctx: ctx, caller: fleettest.NewClient()}
	env.Defer(s.caller.Close)
	env.Values[testFleetKey{}] = s
	if err := fleet.Declare(ctx); err != nil {
		return err
	}
	if err := fleet.WaitReady(ctx); err != nil {
		return err
	}
	return fleet.WaitRoutes(ctx)
}
