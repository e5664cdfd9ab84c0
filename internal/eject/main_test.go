package eject

import (
	"flag"
	"os"
	"testing"
)

// propertySeed makes the property tests give the same verdict in each run. Another seed can be given on the command
// line.
const propertySeed = "1"

// propertyChecks is enough for the property tests to find a collection that comes 10% too early.
const propertyChecks = "2000"

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "0", propertySeed)
	setDefault("rapid.checks", "100", propertyChecks)
	os.Exit(m.Run())
}

// setDefault changes a flag that has its default value.
func setDefault(name, was, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != was {
		return
	}
	if err := f.Value.Set(value); err != nil {
		panic(err)
	}
}
