package loadexchange

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against datagrams without a changed load, and against a load that is not sent again after its datagram was lost.
func TestOutboxSendsChangesAndRefreshes(t *testing.T) {
	const interval = 200 * time.Millisecond
	loads := map[model.TargetID]model.TargetLoad{"a": {Free: 5}, "b": {Free: 0, Wait: time.Second}}
	o := newOutbox(interval, 0)
	expect := func(now time.Duration, what string, want ...model.TargetID) {
		t.Helper()
		got := o.due(now, loads)
		if len(got) != len(want) {
			t.Fatalf("%s: due %v, want %v", what, got, want)
		}
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("%s: due %v, want %v", what, got, want)
			}
		}
	}
	expect(0, "at first", "a", "b")
	expect(interval, "without a change")
	loads["a"] = model.TargetLoad{Free: 3}
	expect(interval, "with a change above maxCountedFree")
	loads["a"] = model.TargetLoad{RequiredSuccesses: 2}
	expect(interval+1, "after a change", "a")
	loads["a"] = model.TargetLoad{Free: 5}
	expect(interval+2, "before the interval has passed")
	expect(2*interval+1, "after the interval", "a")
	expect(refreshInterval, "at the refresh", "a", "b")
}
