package eject

import "time"

const (
	// TTL is the time for which a node enforces a generation of an entry. It is much longer than the gossip interval (1
	// s), so that a failed pull does not make a failing target receive requests again.
	TTL = 20 * time.Second
	// RenewInterval is the interval at which a holder renews its entry. Two renewals may fail before the entry retires.
	RenewInterval = TTL / 3
	// driftAllowance is added to waiting times because the clock rate of each node may deviate by up to 1%.
	driftAllowance = TTL / 40
	// retireAfter is the time for which a node must have cached a generation before it marks the entry as retiring.
	retireAfter = TTL + driftAllowance
	// collectAfter is the time for which a node must have cached the mark before it garbage-collects the entry.
	collectAfter = TTL + driftAllowance
	// settleAfter is the time after the receipt of a new era of the store in which other nodes may still enforce entries
	// that the restore has lost.
	settleAfter = TTL + driftAllowance
	// maxShare limits the share of a service's targets that are ejected at a time. One target may always be ejected if
	// the capacity floor allows it.
	maxShare = 0.3
)
