package fleettest

import (
	"context"
	"fmt"
	"os"
	"testing"
)

// programs are built once for all tests of the package.
var programs *Binaries

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	built, err := Build(context.Background(), relayedDaemonProgram)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer built.Remove()
	programs = built
	return m.Run()
}
