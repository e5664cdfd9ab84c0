package quarantine

// ClaimedProbe names the probe that a node has claimed for one request. It is a permission that runs out: with the next probe,
// with an order of an operator, and with the end of the quarantine.
type ClaimedProbe struct {
	// Epoch is the epoch of the entry with the claim.
	Epoch uint64
	// Number counts from 1.
	Number int
}

// Probe returns the latest probe of the entry.
func (e Entry) Probe() ClaimedProbe { return ClaimedProbe{Epoch: e.Epoch, Number: e.Probes} }
