package eject

import "time"

const (
	// TTL is the time for which a node honours a generation of an entry. It is well above the interval of the exchange
	// between nodes (1 s), so that a lost exchange does not return a failing target to work.
	TTL = 20 * time.Second
	// RenewEvery is the interval at which a holder renews its entry. Two renewals may fail before the entry retires.
	RenewEvery = TTL / 3
	// driftAllowance is added to waiting times because the clock of each node may run fast or slow by up to 1%.
	driftAllowance = TTL / 40
	// retireAfter is the time for which a node has seen a generation before it marks the entry as retiring.
	retireAfter = TTL + driftAllowance
	// collectAfter is the time for which a node has seen the mark before it collects the entry.
	collectAfter = TTL + driftAllowance
	// maxShare bounds the share of a service's targets that are ejected at a time. One target may always be ejected if
	// the floor allows it.
	maxShare = 0.3
)
