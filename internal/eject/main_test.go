package eject

import (
	"flag"
	"os"
	"testing"
)

// propertySeed makes the property tests deterministic. Another seed can be set on the command line.
const propertySeed = "1"

// propertyChecks is large enough for the property tests to detect garbage collection that is 10% too early.
const propertyChecks = "2000"

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "0", propertySeed)
	setDefault("rapid.checks", "100", propertyChecks)
	os.Exit(m.Run())
}

// setDefault sets a flag if it still has its current default.
func setDefault(name, current, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != current {
		return
	}
	if err := f.Value.Set(value); err != nil {
		panic(err)
	}
}
