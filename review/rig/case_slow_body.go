package main

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["slow-body"] = playSlowBody }

const (
	// slowClients send one charge each, whose body they take slowBodyTime to send.
	slowClients   = 24
	slowBodyBytes = 256 << 10
	slowBodyTime  = 3 * time.Second
)

// playSlowBody: clients take longer than the route's timeoutS to send a body, within their own deadlines.
func playSlowBody(w *world) (bool, error) {
	if err := w.startFleet(200 * time.Millisecond); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, m := range w.machines {
		for range 2 {
			go w.clients.keepSending(ctx, m, traffic{method: http.MethodPost, host: host, path: postPath + "1", body: []byte("charge"), pause: 400 * time.Millisecond})
		}
	}
	time.Sleep(5 * time.Second)
	var all sync.WaitGroup
	for i := range slowClients {
		all.Go(func() {
			c := &client{all: w.clients, machine: w.machines[i%len(w.machines)]}
			defer c.close()
			if w.trouble {
				c.bodyTime = slowBodyTime
			}
			c.request(http.MethodPost, host, postPath+"long", bytes.Repeat([]byte("x"), slowBodyBytes))
		})
		time.Sleep(150 * time.Millisecond)
	}
	all.Wait()
	cancel()
	time.Sleep(time.Second)
	return w.judgeDenied(), nil
}

// judgeDenied counts the requests that ended with a 3xx or 4xx of the system's own. All of them are proper and allowed.
func (w *world) judgeDenied() bool {
	results, denied := w.clients.results(), 0
	for _, s := range results {
		own := s.stamp == "" && s.status >= 300 && s.status < 500
		switch {
		case !own, s.status == http.StatusRequestTimeout, s.status == http.StatusMisdirectedRequest, s.status == http.StatusTooManyRequests:
			continue
		}
		denied++
		w.rec.add("DENIED: %s at %s ended with %d", s.id, s.machine, s.status)
	}
	allowed := 5 + len(results)/500
	w.rec.say("%d of %d requests ended with a 3xx or 4xx of the system's own, other than 408, 421 and 429; at most %d may", denied, len(results), allowed)
	return denied > allowed
}
