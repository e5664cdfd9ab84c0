// Command fakeupstream runs one fake upstream for tests and examples. SIGTERM drains it and then ends it.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sardinereach/sardinereach/internal/fakeupstream"
)

// crashStatus is the exit status after a poison request.
const crashStatus = 86

func main() {
	config := fakeupstream.Config{Crash: func() { os.Exit(crashStatus) }}
	flag.StringVar(&config.Service, "service", "", "service `name`")
	flag.StringVar(&config.Target, "target", "", "target `id`")
	flag.StringVar(&config.Listen, "listen", "127.0.0.1:0", "`address` for requests")
	flag.StringVar(&config.Control, "control", "127.0.0.1:0", "`address` of the control listener")
	flag.StringVar(&config.Node, "node", "", "`address` of the node's announce listener")
	flag.IntVar(&config.Slots, "slots", 1, "requests that run at a time")
	flag.DurationVar(&config.ColdStart, "cold-start", 0, "time in phase starting")
	flag.DurationVar(&config.WorkDuration, "work", 0, "time before the first byte of each answer")
	flag.StringVar(&config.RunLog, "run-log", "", "`file` to which runs are appended")
	flag.Uint64Var(&config.Seed, "seed", 1, "seed of injected errors")
	flag.Parse()
	if err := run(config); err != nil {
		fmt.Fprintln(os.Stderr, "fakeupstream:", err)
		os.Exit(1)
	}
}

func run(config fakeupstream.Config) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	server, err := fakeupstream.Start(config)
	if err != nil {
		return err
	}
	fmt.Printf("fakeupstream %s: requests at %s, control at %s\n", config.Target, server.Address(), server.ControlAddress())
	<-signals
	server.Drain(true)
	<-server.Done()
	return nil
}
