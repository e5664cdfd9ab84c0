// Command quickstart runs the fleet of a carton printer on loopback: a fake store, fake upstreams and daemons as
// separate processes. It applies declarations, sends proofs, archive pulls and print approvals through all nodes,
// drains one upstream and kills another, and prints a summary. It exits with status 0 only if the fleet kept all of its
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
	proofBytes   = 64 << 10
	archiveBytes = 4 << 20
)

func main() {
	full := flag.Bool("full", false, "8 targets for each service in place of 2")
	flag.Parse()
	err := tour.Run(os.Stdout, tour.Plan{
		Title:  "Huon",
		Layout: fleettest.Huon(*full),
		Small: tour.Flow{
			Service: fleettest.Proofroom, Path: "/proofs", Label: "proofs",
			Count: 400, Size: proofBytes, Work: 5 * time.Millisecond, Workers: 4,
		},
		Bulk: tour.Flow{
			Service: fleettest.DielineVault, Path: "/archive", Label: "archive pulls",
			Count: 40, Size: archiveBytes, Workers: 3,
		},
		Operations: tour.Flow{
			Service: fleettest.Approvals, Path: "/approvals", Label: "print approvals",
			Count: 100, Work: 20 * time.Millisecond, Workers: 3,
		},
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(1)
	}
}
