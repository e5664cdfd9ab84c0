package quota

import (
	"testing"
	"time"
)

// Guards against parts that are used twice because a call arrives after the one that took them back.
func TestOvertakenCallLendsNothing(t *testing.T) {
	for _, overtaken := range []Loan{{Node: "n0", Incarnation: 2, Divisor: 2, Serial: 1}, {Node: "n0", Incarnation: 1, Divisor: 2, Serial: 9}} {
		d := NewDistributor(testLend)
		d.TakeBack(time.Second, Loan{Node: "n0", Incarnation: 2, Serial: 2})
		// Its echo is from before the call that has overtaken it.
		end := time.Second + testLend
		d.Lend(end-1, overtaken, end)
		if share := d.Share(end - 1); share != 0 {
			t.Errorf("%+v lends %.2f", overtaken, share)
		}
	}
}
