package quarantine

import (
	"flag"
	"os"
	"testing"
)

// propertySeed makes the property tests deterministic. Another seed can be set on the command line.
const propertySeed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set(propertySeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
