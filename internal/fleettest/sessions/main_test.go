package sessions

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// programs are built once for all sessions.
var programs *fleettest.Binaries

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	built, err := fleettest.Build(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer built.Remove()
	programs = built
	return m.Run()
}
