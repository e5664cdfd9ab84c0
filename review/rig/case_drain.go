package main

import (
	"context"
	"errors"
	"net/http"
	"time"
)

func init() { scenarios["late-heartbeat"] = playLateHeartbeat }

const (
	// lateBy is the time that the heartbeat is on its way, at least.
	lateBy = 3500 * time.Millisecond
	// servesAfterLeave is the time for which the target still serves after its leave call was acknowledged.
	servesAfterLeave = 7800 * time.Millisecond
)

// playLateHeartbeat: a target leaves and is acknowledged, the node beside it is stopped and started again, and a heartbeat that
// the target sent before it left arrives late.
func playLateHeartbeat(w *world) (bool, error) {
	if err := w.startFleet(400 * time.Millisecond); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, m := range w.machines[1:] {
		for range 2 {
			go w.clients.keepSending(ctx, m, traffic{method: http.MethodPost, host: host, path: postPath + "1", body: []byte("charge"), pause: 50 * time.Millisecond})
		}
		go w.clients.keepSending(ctx, m, traffic{method: http.MethodGet, host: host, path: getPath + "1", pause: 100 * time.Millisecond})
	}
	time.Sleep(5 * time.Second)
	leaving, node := w.targets[0], w.machines[0]
	if len(leaving.allRuns()) == 0 {
		return false, errors.New("the target got no requests before it left")
	}
	// The heartbeat is on its way from now on.
	leaving.setSilent()
	late, lateSince := leaving.heartbeat("ready"), time.Now()
	time.Sleep(100 * time.Millisecond)
	if !leaving.leave() {
		return false, errors.New("the leave call was not acknowledged")
	}
	acknowledged := time.Now()
	if w.trouble {
		time.Sleep(200 * time.Millisecond)
		if err := node.stopAndStart(w); err != nil {
			return false, err
		}
	}
	status := 0
	for end := time.Now().Add(10 * time.Second); status != http.StatusOK && time.Now().Before(end); {
		if time.Since(lateSince) < lateBy {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if status, _ = leaving.call(names.Heartbeat, late); status != http.StatusOK {
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.rec.say("target %s: the heartbeat sent %.1f s ago arrives: status %d", leaving.id, time.Since(lateSince).Seconds(), status)
	time.Sleep(time.Until(acknowledged.Add(servesAfterLeave)))
	leaving.exit()
	time.Sleep(3 * time.Second)
	cancel()
	return w.judgeDrain(leaving, node, acknowledged), nil
}

// judgeDrain counts the requests that reached the target later than drainS after the acknowledgement, sent on by machines in touch.
func (w *world) judgeDrain(leaving *target, node *machine, acknowledged time.Time) bool {
	late, outOfTouch := map[string]bool{}, 0
	for _, r := range leaving.allRuns() {
		switch {
		case !r.arrivedAt.After(acknowledged.Add(drainLimit)):
		case !r.arrivedAt.After(node.lastStart().Add(stableWindow)):
			outOfTouch++
		default:
			late[r.id] = true
			w.rec.add("DRAIN: %s reached %s %.3f s after the acknowledgement", r.id, r.target, r.arrivedAt.Sub(acknowledged).Seconds())
		}
	}
	lost := 0
	for _, s := range w.clients.results() {
		if late[s.id] && s.method == http.MethodPost && s.status != http.StatusOK {
			lost++
			w.rec.add("lost: %s has run at the target that had left, and got status %d, error %v", s.id, s.status, s.err)
		}
	}
	w.rec.say("requests that reached the target later than drainS: %d by machines in touch, %d by others; charges of them without an answer of the target: %d",
		len(late), outOfTouch, lost)
	return len(late) > 0
}
