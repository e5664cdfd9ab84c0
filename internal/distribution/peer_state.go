package distribution

import "time"

// peerState is what this node remembers of the pulls from one peer address.
type peerState struct {
	// incarnation and cursor are those of the last answer.
	incarnation uint64
	cursor      uint64
	// selfVersion is the version of the own record that the peer has.
	selfVersion uint64
	// pulledAt is the time of the last answer.
	pulledAt time.Duration
	// whole means that the cursor goes back to the beginning of the peer's change log without a gap.
	whole bool
	// pulls counts the pulls since the whole own record was sent.
	pulls    int
	inFlight bool
	// usedRound is the last round with a pull, to drop the state of peers that are not used any more.
	usedRound uint64
}

const (
	// fullSelfPulls is how often the whole own record is sent even though the peer has it, in case it dropped it.
	fullSelfPulls = 60
	// peerStateRounds is how long the state of an unused peer is kept, in rounds.
	peerStateRounds = 3600
)
