package distribution

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/config"
)

// Guards against a permit that a node enforces for too long because it received it late, from a peer that is
// partitioned from the store. The age has to add up over all hops, and an older revision must not increase the age of a
// newer one.
func TestPermitAgesAddUp(t *testing.T) {
	const key = EjectionPrefix + "s"
	ages := permitAges{}
	ages.record(config.Document{Key: key, Revision: 5}, 10*time.Second)
	ages.record(config.Document{Key: key, Revision: 5}, 4*time.Second)
	if got := ages.age(key, 30*time.Second); got != 20*time.Second {
		t.Errorf("age %s after an older observation of the same revision, want 20s", got)
	}
	ages.record(config.Document{Key: key, Revision: 4}, 29*time.Second)
	if got := ages.age(key, 30*time.Second); got != 20*time.Second {
		t.Errorf("age %s after an older revision, want 20s", got)
	}
	ages.record(config.Document{Key: key, Revision: 6}, 12*time.Second)
	if got := ages.age(key, 30*time.Second); got != 18*time.Second {
		t.Errorf("age %s of a newer revision, want 18s", got)
	}
	ages.record(config.Document{Key: ConfigPrefix + "x", Revision: 9}, time.Second)
	if got := ages.age(ConfigPrefix+"x", 30*time.Second); got != 0 {
		t.Errorf("age %s of a document for which none is recorded", got)
	}
}
