// Command dala runs the fleet of a landing-fee office on loopback: a fake store, fake upstreams and daemons as separate
// processes. It reads tariffs and invoices and books landing charges in the ledger through all nodes, drains one
// upstream and kills another, and prints a summary. It exits with status 0 only if the fleet kept all of its
// guarantees.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/sardinereach/sardinereach/examples/internal/tour"
	"github.com/sardinereach/sardinereach/internal/fleettest"
)

const (
	tariffBytes  = 2 << 10
	invoiceBytes = 256 << 10
)

func main() {
	full := flag.Bool("full", false, "8 to 10 targets for each service in place of 2")
	flag.Parse()
	err := tour.Run(os.Stdout, tour.Plan{
		Title:  "Dala",
		Layout: fleettest.Dala(*full),
		Small: tour.Flow{
			Service: fleettest.Tariffs, Path: "/tariffs", Label: "tariffs",
			Count: 400, Size: tariffBytes, Work: 5 * time.Millisecond, Workers: 2,
		},
		Bulk: tour.Flow{
			Service: fleettest.Invoices, Path: "/invoices", Label: "invoices",
			Count: 60, Size: invoiceBytes, Work: 10 * time.Millisecond, Workers: 2,
		},
		Operations: tour.Flow{
			Service: fleettest.Ledger, Path: "/ledger", Label: "landing charges",
			Count: 100, Work: 20 * time.Millisecond, Workers: 2,
		},
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "dala:", err)
		os.Exit(1)
	}
}
