// Command relayeddaemon is sardinereachd with one difference: it listens for peers at an address other than the one that
// it tells them. Tests put a relay between the two.
package main

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/metrics"
	"github.com/sardinereach/sardinereach/internal/node"
	"github.com/sardinereach/sardinereach/internal/settings"
)

func main() {
	config := flag.String("config", "", "settings `file`")
	bind := flag.String("bind-peers", "", "`address` to listen at for peers")
	flag.Parse()
	if err := run(*config, *bind); err != nil {
		fmt.Fprintln(os.Stderr, "relayeddaemon:", err)
		os.Exit(1)
	}
}

func run(config, bind string) error {
	s, err := settings.Load(config)
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(bind)
	if err != nil {
		return errors.Wrap(err, "bind-peers")
	}
	m := metrics.New()
	if err := metrics.Publish("sardinereach", m); err != nil {
		return err
	}
	n, err := node.New(s, m, events.New(events.Klog{}, time.Now), node.OwnPorts(s, m))
	if err != nil {
		return err
	}
	// New has taken the node's identity, with the address that peers are told. Run listens at what the settings say now.
	s.Listen.Peers = address
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	go func() {
		<-signals
		n.Shutdown()
	}()
	return n.Run()
}
