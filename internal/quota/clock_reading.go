package quota

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// ClockReading is the monotonic clock of an incarnation of a node at one moment.
type ClockReading struct {
	Incarnation model.Incarnation
	At          time.Duration
}

// LoanEnd returns the time at which a loan of the given length ends that echoes an earlier reading of the clock. It does not depend on
// how late the loan arrives. It returns false if the loan has ended already, or if another incarnation has told the reading.
func (c ClockReading) LoanEnd(echo ClockReading, length time.Duration) (time.Duration, bool) {
	end := min(echo.At, c.At) + length
	return end, echo.Incarnation == c.Incarnation && end > c.At
}
