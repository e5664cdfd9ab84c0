package distribution

import "time"

// peerState is the state of the pulls from one peer address.
type peerState struct {
	// incarnation and cursor are those of the last response.
	incarnation uint64
	cursor      uint64
	// selfVersion is the version of the own record that the peer has received.
	selfVersion uint64
	// pulledAt is the time of the last response.
	pulledAt time.Duration
	// fromStart means that the responses cover the peer's change log from its beginning up to the cursor without a gap.
	fromStart bool
	// pullsSinceFullRecord counts the pulls since the full own record was sent.
	pullsSinceFullRecord int
	inFlight             bool
	// fetching means that the chunks of documents that the peer has offered are being requested from it.
	fetching bool
	// failed means that the last pull was not answered.
	failed bool
	// lastUsedRound is the last round with a pull from the peer. The state of unused peers is removed.
	lastUsedRound uint64
}

const (
	// pullsPerFullRecord is the number of pulls after which the full own record is sent even though the peer has
	// received it, in case the peer has evicted it.
	pullsPerFullRecord = 60
	// unusedPeerRounds is the number of rounds for which the state of an unused peer is kept.
	unusedPeerRounds = 3600
)
