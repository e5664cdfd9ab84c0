package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fakeupstream"
)

// measure runs the rounds. The paths take turns within a round, so that a busy moment of the machine meets all of them.
func measure(ctx context.Context, p plan, paths []*path) error {
	transport := &http.Transport{MaxIdleConnsPerHost: hopIdleConnections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	b := &callers{transport: transport, size: p.size}
	for round := range p.rounds {
		for _, count := range concurrencies {
			for i := range paths {
				path := paths[(i+round)%len(paths)]
				b.run(ctx, path, count, p.slice)
			}
		}
	}
	return errors.Wrap(ctx.Err(), "measurement cut short")
}

// callers sends requests in closed loops.
type callers struct {
	transport *http.Transport
	size      int64
}

// warmUp is the number of requests per caller that are not measured; they open the connections.
const warmUp = 5

// run adds one slice to the path's sample.
func (c *callers) run(ctx context.Context, p *path, count int, slice time.Duration) {
	s := p.samples[count]
	var mu sync.Mutex
	var wait sync.WaitGroup
	var ready sync.WaitGroup
	ready.Add(count)
	begin := make(chan struct{})
	for i := range count {
		wait.Go(func() {
			token := fmt.Sprintf("caller-%d", i)
			for range warmUp {
				_ = c.request(ctx, p.address, token)
			}
			ready.Done()
			<-begin
			took, failed := c.loop(ctx, p.address, token, slice)
			mu.Lock()
			defer mu.Unlock()
			for _, d := range took {
				// Values over maxLatencyUS cannot occur within the request's timeout.
				_ = s.latency.RecordValue(max(1, d.Microseconds()))
			}
			for reason, n := range failed {
				s.failed[reason] += n
			}
		})
	}
	ready.Wait()
	started := time.Now()
	close(begin)
	wait.Wait()
	s.seconds += time.Since(started).Seconds()
}

func (c *callers) loop(ctx context.Context, address, token string, slice time.Duration) ([]time.Duration, map[string]int) {
	var took []time.Duration
	failed := map[string]int{}
	for end := time.Now().Add(slice); time.Now().Before(end) && ctx.Err() == nil; {
		started := time.Now()
		if err := c.request(ctx, address, token); err != nil {
			failed[err.Error()]++
			continue
		}
		took = append(took, time.Since(started))
	}
	return took, failed
}

// request sends one request and checks that its answer is whole and its own.
func (c *callers) request(ctx context.Context, address, token string) error {
	url := fmt.Sprintf("http://%s%s?bytes=%d", address, benchPath, c.size)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	request.Header.Set(fakeupstream.HeaderRequest, token)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return errors.Wrap(err, "answer")
	}
	if response.StatusCode != http.StatusOK || n != c.size || response.Header.Get(fakeupstream.HeaderRequest) != token {
		return errors.Errorf("status %d %s", response.StatusCode, response.Header.Get("Sardinereach-Reason"))
	}
	return nil
}
