// Command measure simulates generated load on the admission point and the retry decision with a fake clock: one service,
// its targets, and one accepting node. It prints the tables of docs/measurements/retries.md. Its output depends only on
// the seed.
package main

import (
	"flag"
	"fmt"
	"time"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the generated load")
	flag.Parse()
	for _, k := range upstreamKinds() {
		fmt.Printf("\n### %s\n\n", k.name)
		printGoodput(k, *seed)
		printRecovery(k, *seed)
	}
	printRetryBursts(*seed)
}

func printGoodput(k upstreamKind, seed uint64) {
	fmt.Println("| policy | offered | goodput | answered | dispatches per request | messages per request |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, p := range policies() {
		for _, offered := range []float64{0.5, 1, 1.5, 2, 3} {
			t := newSimulation(scenario{policy: p, offered: offered, upstreams: k, seed: seed}).run()
			arrived, answered := t.measured()
			fmt.Printf("| %s | %.1fx | %.3fx | %.1f%% | %.2f | %.2f |\n", p.name, offered,
				float64(answered)/measuredTime.Seconds()/capacity, 100*float64(answered)/float64(arrived),
				float64(t.dispatches)/float64(arrived), float64(t.messages)/float64(arrived))
		}
	}
}

func printRecovery(k upstreamKind, seed uint64) {
	fmt.Println("\n| policy | offered | answered during the brown-out | recovery |")
	fmt.Println("|---|---|---|---|")
	for _, p := range policies() {
		for _, offered := range []float64{0.8, 0.95} {
			t := newSimulation(scenario{policy: p, offered: offered, upstreams: k, brownOut: true, seed: seed}).run()
			var during secondCounts
			for _, s := range t.seconds[index(warmUp):index(warmUp+brownOutTime)] {
				during.arrived += s.arrived
				during.answered += s.answered
			}
			after, ok := t.recovery(k.recoveryWindow)
			text := after.String()
			if !ok {
				text = fmt.Sprintf("not within %v", k.recoveryWindow)
			}
			fmt.Printf("| %s | %.2fx | %.1f%% | %s |\n", p.name, offered, 100*float64(during.answered)/float64(during.arrived), text)
		}
	}
}

func printRetryBursts(seed uint64) {
	fmt.Printf("\n### %d requests that failed in the same moment: most that return within %v\n\n", burstRequests, burstWindow)
	fmt.Println("| attempt | Retry-After | full jitter | no jitter |")
	fmt.Println("|---|---|---|---|")
	for _, retryAfter := range []time.Duration{0, time.Second} {
		for _, attempt := range []int{1, 3, 5} {
			fmt.Printf("| %d | %v | %d | %d |\n", attempt, retryAfter, maxRetriesInWindow(attempt, retryAfter, true, seed), maxRetriesInWindow(attempt, retryAfter, false, seed))
		}
	}
}
