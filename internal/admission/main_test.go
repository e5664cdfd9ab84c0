package admission

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the size of the property tests, so that they are deterministic.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
