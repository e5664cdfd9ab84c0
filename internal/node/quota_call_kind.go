package node

// quotaCallKind is what a call does with the parts of the sender. Each kind may ask for permits as well.
type quotaCallKind uint8

const (
	// quotaLend lends the parts, or lends them for longer.
	quotaLend quotaCallKind = iota
	// quotaTakeBack ends a loan.
	quotaTakeBack
	// quotaAsk asks for permits from the parts of others. A node that has just started may not lend its own yet.
	quotaAsk
	// quotaProbe lends nothing. It shows that the receiver answers, and its clock.
	quotaProbe
)

// asksForPermits reports whether calls of the kind carry demands.
func (k quotaCallKind) asksForPermits() bool { return k == quotaLend || k == quotaAsk }
