// Command latencybench measures the latency that two hops of a fleet add to a request. In one run it sends the same
// requests to a fake upstream directly, through two plain reverse proxies, and through two daemons.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	var p plan
	hop := flag.String("hop", "", "run as a plain hop: `listen,next` addresses")
	flag.IntVar(&p.rounds, "rounds", 5, "rounds; each measures every path at every concurrency")
	flag.DurationVar(&p.slice, "slice", 2*time.Second, "time per path, concurrency and round")
	flag.Int64Var(&p.size, "bytes", 1024, "body size of an answer")
	flag.Int64Var(&p.archive, "archive", 64<<20, "size of the streamed archive in bytes")
	flag.Parse()
	if err := run(p, *hop); err != nil {
		fmt.Fprintln(os.Stderr, "latencybench:", err)
		os.Exit(1)
	}
}

func run(p plan, hop string) error {
	if hop != "" {
		return serveHop(hop)
	}
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	return bench(ctx, p)
}

// benchTimeout aborts a run that hangs.
const benchTimeout = 10 * time.Minute
