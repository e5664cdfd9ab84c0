// Command relayeddaemon is sardinereachd with one difference: it listens for peers at an address other than the one it
// announces to them. Tests run a relay between the two addresses.
package main

import (
	"flag"
	"fmt"
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/daemon"
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
	return daemon.Run(config, s, daemon.NotifyReload(), func(s *settings.Settings) { s.Listen.Peers = address })
}
