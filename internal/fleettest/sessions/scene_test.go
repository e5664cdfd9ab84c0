package sessions

import (
	"context"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

const (
	// sessionLimit ends a session that hangs.
	sessionLimit = 2 * time.Minute
	slots        = 4
)

// layout has four targets that read, two in each region, and one that runs operations.
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

// scene is the fleet of one script with a caller.
type scene struct {
	*fleettest.Fleet
	ctx    context.Context
	caller *fleettest.Client
	serial int
}

type sceneKey struct{}

func sceneOf(ts *testscript.TestScript) *scene { return ts.Value(sceneKey{}).(*scene) }

// fleets limits the fleets that run at the same time, because the machine is shared.
var fleets = make(chan struct{}, 2)

func startScene(env *testscript.Env) error {
	fleets <- struct{}{}
	env.Defer(func() { <-fleets })
	ctx, cancel := context.WithTimeout(context.Background(), sessionLimit)
	env.Defer(cancel)
	fleet, err := fleettest.Start(fleettest.Options{Layout: layout, Binaries: programs, Dir: env.WorkDir})
	if err != nil {
		return err
	}
	env.Defer(fleet.Close)
	s := &scene{Fleet: fleet, ctx: ctx, caller: fleettest.NewClient()}
	env.Defer(s.caller.Close)
	env.Values[sceneKey{}] = s
	if err := fleet.Declare(ctx); err != nil {
		return err
	}
	if err := fleet.WaitReady(ctx); err != nil {
		return err
	}
	return fleet.WaitRoutes(ctx)
}
