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

// measure runs the rounds. The paths alternate within a round, so that a load peak of the machine affects all of them.
func measure(ctx context.Context, p plan, paths []*path) error {
	transport := &http.Transport{MaxIdleConnsPerHost: hopIdleConnections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &callerPool{transport: transport, size: p.size}
	for round := range p.rounds {
		for _, count := range concurrencyLevels {
			for i := range paths {
				path := paths[(i+round)%len(paths)]
				c.run(ctx, path, count, p.slice)
			}
		}
	}
	return errors.Wrap(ctx.Err(), "measurement interrupted")
}

// callerPool runs concurrent callers in closed loops: each sends its next request when the last one has ended.
type callerPool struct {
	transport *http.Transport
	size      int64
}

// warmUpRequests is the number of unmeasured requests per caller that open the connections.
const warmUpRequests = 5

// run measures one time slice and adds it to the sample of the path.
func (c *callerPool) run(ctx context.Context, p *path, count int, slice time.Duration) {
	s := p.samples[count]
	var mu sync.Mutex
	var wait sync.WaitGroup
	var ready sync.WaitGroup
	ready.Add(count)
	begin := make(chan struct{})
	for i := range count {
		wait.Go(func() {
			token := fmt.Sprintf("caller-%d", i)
			for range warmUpRequests {
				_ = c.request(ctx, p.address, token)
			}
			ready.Done()
			<-begin
			latencies, failures := c.loop(ctx, p.address, token, slice)
			mu.Lock()
			defer mu.Unlock()
			for _, d := range latencies {
				// Values over maxLatencyUS cannot occur within the request's timeout.
				_ = s.latency.RecordValue(max(1, d.Microseconds()))
			}
			for reason, n := range failures {
				s.failures[reason] += n
			}
		})
	}
	ready.Wait()
	started := time.Now()
	close(begin)
	wait.Wait()
	s.seconds += time.Since(started).Seconds()
}

func (c *callerPool) loop(ctx context.Context, address, token string, slice time.Duration) ([]time.Duration, map[string]int) {
	var latencies []time.Duration
	failures := map[string]int{}
	for end := time.Now().Add(slice); time.Now().Before(end) && ctx.Err() == nil; {
		started := time.Now()
		if err := c.request(ctx, address, token); err != nil {
			failures[err.Error()]++
			continue
		}
		latencies = append(latencies, time.Since(started))
	}
	return latencies, failures
}

// request sends one request and checks that the response is complete and belongs to it.
func (c *callerPool) request(ctx context.Context, address, token string) error {
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
