package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["crash"] = playCrash }

const (
	latePath = "/rates/"
	// popular is the one request that many clients send.
	popular     = latePath + "current"
	crashedZone = "south-a"
)

// playCrash: the three targets of one zone crash at the same moment and are back after four seconds.
func playCrash(w *world) (bool, error) {
	if err := w.startFleet(340 * time.Millisecond); err != nil {
		return false, err
	}
	for _, zone := range []string{"north-a", "north-b", "south-a", "south-a", "south-a", "south-b", "south-b", "south-b"} {
		if err := w.addMachine(zone, zone[:len(zone)-2], "ledger", 340*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	routes := w.firstRoutes()
	routes["r-late"] = route{Host: host, Prefix: latePath, Kind: "idempotent", TimeoutS: 2, ObjectiveS: 1, Priority: 2, Service: "ledger", MaxAttempts: 2}
	w.store.put(names.ConfigurationKey, configuration(9, []string{"ledger"}, routes))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.Sleep(3 * time.Second)
	for i, m := range w.machines {
		go w.keepSendingDistinct(ctx, m, fmt.Sprintf("%s%d-", getPath, i))
		for range 3 {
			go w.clients.keepSending(ctx, m, traffic{method: http.MethodGet, host: host, path: popular, pause: 200 * time.Millisecond})
		}
	}
	time.Sleep(5 * time.Second)
	before := w.shares(time.Now().Add(-4 * time.Second))
	w.rec.say("before: %s", before)
	if before.late < before.first/2 {
		return false, errors.New("the added route is not served before the disruption")
	}
	if w.trouble {
		var all sync.WaitGroup
		for _, t := range w.targets {
			if t.zone == crashedZone {
				all.Go(func() { t.crash(4 * time.Second) })
			}
		}
		all.Wait()
	} else {
		time.Sleep(4 * time.Second)
	}
	// Calm: no disruption on any machine or target for longer than stableWindowS.
	time.Sleep(stableWindow + 5*time.Second)
	since := time.Now()
	time.Sleep(20 * time.Second)
	cancel()
	after := w.shares(since)
	w.rec.say("in steady state, from 8 s after the targets were back: %s", after)
	return after.lateCount >= 20 && after.late < after.first/4, nil
}

// keepSendingDistinct sends requests of which no two are the same.
func (w *world) keepSendingDistinct(ctx context.Context, m *machine, prefix string) {
	c := &client{all: w.clients, machine: m}
	defer c.close()
	for i := 0; ctx.Err() == nil; i++ {
		c.request(http.MethodGet, host, fmt.Sprintf("%s%d", prefix, i), nil)
		time.Sleep(500 * time.Millisecond)
	}
}

// shares are the shares of requests that were served, on the first routes and on the one that was added.
type shares struct {
	first, late           float64
	firstCount, lateCount int
}

func (s shares) String() string {
	return fmt.Sprintf("first routes: %.0f%% of %d requests served, added route: %.0f%% of %d", 100*s.first, s.firstCount, 100*s.late, s.lateCount)
}

func (w *world) shares(since time.Time) shares { return w.sharesOf(since, popular) }

// sharesOf returns the shares of the requests since the time. latePath is the path of those on the added route.
func (w *world) sharesOf(since time.Time, latePath string) shares {
	var s shares
	var firstServed, lateServed int
	for _, r := range w.clients.results() {
		served := 0
		if r.status == http.StatusOK && r.stamp != "" {
			served = 1
		}
		switch {
		case r.sentAt.Before(since):
		case r.path == latePath:
			s.lateCount++
			lateServed += served
		default:
			s.firstCount++
			firstServed += served
		}
	}
	s.first = float64(firstServed) / float64(max(s.firstCount, 1))
	s.late = float64(lateServed) / float64(max(s.lateCount, 1))
	return s
}
