package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against two distributors that each hold half of the parts and, by rounding, a whole token of a small limit.
func TestHalfOfThePartsHoldsNoTokenOfASmallLimit(t *testing.T) {
	limit := Limit{PerSecond: 0.1, Burst: 1}
	for nodes := 2; nodes <= 200; nodes += 2 {
		d := NewDistributor(testLend)
		for i := range nodes / 2 {
			d.Lend(0, Loan{Node: model.NodeID(fmt.Sprint("n", i)), Divisor: nodes}, time.Hour)
		}
		if grant := d.Take(time.Minute, account, limit, 1, 0); grant.Permits > 0 {
			t.Errorf("%d nodes: half of the parts grants %d permits of a burst of 1", nodes, grant.Permits)
		}
	}
}

// Guards against a small limit of which no request passes while exactly half of the parts are missing.
func TestHalfOfThePartsWithTheCastingOneGrantsASmallLimit(t *testing.T) {
	for _, burst := range []float64{0, 1, 1.99} {
		for nodes := 2; nodes <= 200; nodes += 2 {
			d := NewDistributor(testLend)
			for i := range nodes / 2 {
				d.Lend(0, Loan{Node: model.NodeID(fmt.Sprint("n", i)), Divisor: nodes, IsCasting: i == 0}, time.Hour)
			}
			limit := Limit{PerSecond: 0.1, Burst: burst}
			if grant := d.Take(time.Minute, account, limit, 2, 0); grant.Permits != 1 {
				t.Errorf("%d nodes: half of the parts grants %d permits of a burst of %g", nodes, grant.Permits, burst)
			}
		}
	}
}

// Guards against a limit of which no request passes because the sum of the parts is slightly less than the share that holds one.
func TestSumOfPartsThatMakesATokenGrantsIt(t *testing.T) {
	for _, burst := range []int{2, 3, 4, 5, 10} {
		for nodes := burst; nodes <= 200; nodes += burst {
			d := NewDistributor(testLend)
			for i := range nodes / burst {
				d.Lend(0, Loan{Node: model.NodeID(fmt.Sprint("n", i)), Divisor: nodes}, 2*time.Hour)
			}
			if grant := d.Take(time.Hour, account, Limit{PerSecond: 1, Burst: float64(burst)}, 2, 0); grant.Permits != 1 {
				t.Errorf("%d nodes: one part in %d grants %d permits of a burst of %d", nodes, burst, grant.Permits, burst)
			}
		}
	}
}
