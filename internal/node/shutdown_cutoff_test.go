package node

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// announceCutoff announces a cutoff that applies to all requests with a later deadline.
func announceCutoff(a *acceptor, in time.Duration) {
	at := time.Now().Add(in)
	a.cutoff.announce(at, at)
}

// Guards against cutting off a request whose deadline comes before the process would be killed.
func TestRequestWhoseDeadlineComesBeforeTheKillIsNotCutOff(t *testing.T) {
	const finalPart = 10 * time.Second
	for name, c := range map[string]struct {
		timeout time.Duration
		want    string
	}{
		"deadline before the kill": {finalPart / 2, "200 one"},
		"deadline after it":        {finalPart * 2, fmt.Sprintf("504 may-have-run: %s\n", verdict.ShutdownCutoff)},
	} {
		t.Run(name, func(t *testing.T) {
			only := newBlockingTarget(t, "one")
			a, address := startHedging(t, only, nil)
			response := make(chan string, 1)
			go func() { response <- getWithin(t, address, c.timeout) }()
			for only.runs.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			now := time.Now()
			a.cutoff.announce(now, now.Add(finalPart))
			a.cutoff.pass()
			if c.timeout > finalPart {
				checkResponse(t, <-response, c.want)
				close(only.released)
				return
			}
			close(only.released)
			checkResponse(t, <-response, c.want)
		})
	}
}

func checkResponse(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("response %q, want %q", got, want)
	}
}

// getWithin sends a request that its caller waits for as long as the timeout.
func getWithin(t *testing.T, address string, timeout time.Duration) string {
	t.Helper()
	request := fmt.Sprintf("GET /s HTTP/1.1\r\nHost: h\r\nSardinereach-Timeout-Ms: %d\r\nConnection: close\r\n\r\n", timeout.Milliseconds())
	res, err := roundTrip(t, address, request)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Error(err)
	}
	return fmt.Sprintf("%d %s", res.StatusCode, body)
}
