package node

import (
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against a panic in an attempt of an idempotent request that ends the daemon with all its other requests.
func TestPanicInHedgedAttemptDoesNotEndTheDaemon(t *testing.T) {
	target := newBlockingTarget(t, "one")
	close(target.released)
	a, address := startHedging(t, target, nil)
	var attempts atomic.Int32
	a.admitter.onAttemptEnd = func(observation) {
		if attempts.Add(1) == 1 {
			panic("attempt of the test")
		}
	}
	res, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK || attempts.Load() != 2 {
		t.Errorf("status %d after %d attempts, want %d from the retry", res.StatusCode, attempts.Load(), http.StatusOK)
	}
}
