package main

import (
	"context"
	"errors"
	"net/http"
	"time"
)

func init() { scenarios["poison"] = playPoison }

const (
	otherHost = "rates.example"
	// poison is the path of a request that crashes the targets of service ledger, on the host of that service.
	poison = getPath + "7"
	// poisonTries is how often the client sends it.
	poisonTries = 8
	// judgedTime is long enough for twenty requests of the one client on the added route.
	judgedTime = 35 * time.Second
)

// playPoison: a request crashes each target of service ledger that runs it. Another host has a request with the same method and
// path, for another service.
func playPoison(w *world) (bool, error) {
	if err := w.startFleet(200 * time.Millisecond); err != nil {
		return false, err
	}
	for _, zone := range []string{"north-a", "north-b"} {
		if err := w.addMachine(zone, "north", "tariffs", 200*time.Millisecond); err != nil {
			return false, err
		}
	}
	services := []string{"ledger", "tariffs"}
	w.store.put(names.ConfigurationKey, configuration(8, services, w.firstRoutes()))
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	routes := w.firstRoutes()
	routes["r-late"] = route{Host: otherHost, Prefix: getPath, Kind: "idempotent", TimeoutS: 2, ObjectiveS: 1, Priority: 2, Service: "tariffs",
		MaxAttempts: 2}
	w.store.put(names.ConfigurationKey, configuration(9, services, routes))
	time.Sleep(4 * time.Second)
	for _, t := range w.targets[:4] {
		t.setPoison(host, poison)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, m := range w.machines {
		go w.keepSendingDistinct(ctx, m, getPath+m.name+"-")
	}
	go w.clients.keepSending(ctx, w.machines[5], traffic{method: http.MethodGet, host: otherHost, path: poison, pause: 700 * time.Millisecond})
	time.Sleep(6 * time.Second)
	before := w.sharesOf(time.Now().Add(-5*time.Second), poison)
	w.rec.say("before: %s", before)
	if before.late < before.first/2 {
		return false, errors.New("the added route is not served before the disruption")
	}
	if w.trouble {
		crashing := &clients{rec: w.rec, prefix: "crash-"}
		for i := range poisonTries {
			c := &client{all: crashing, machine: w.machines[i%len(w.machines)]}
			c.request(http.MethodGet, host, poison, nil)
			c.close()
			time.Sleep(500 * time.Millisecond)
		}
	} else {
		time.Sleep(poisonTries * 500 * time.Millisecond)
	}
	// Calm: all targets are back for longer than stableWindowS.
	time.Sleep(crashTime + 2*stableWindow)
	since := time.Now()
	time.Sleep(judgedTime)
	cancel()
	after := w.sharesOf(since, poison)
	w.rec.say("in steady state, %.0f s after the last of these requests: %s", (crashTime + 2*stableWindow).Seconds(), after)
	return after.lateCount >= 20 && after.late < after.first/4, nil
}
