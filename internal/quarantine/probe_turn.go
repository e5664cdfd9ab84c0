package quarantine

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// probeClaimants is the number of nodes up to which the writes for one probe do not grow with the fleet.
const probeClaimants = 10_000

// ProbeWait returns the time for which a request of this node waits before it claims the next probe of the fingerprint. within is the
// time over which the nodes spread out their claims. nodeHash is a hash of the node; the same node gets another turn for each probe.
// What earlier requests have waited for the same probe counts, so that callers who never wait for long get one too.
func (t *Table) ProbeWait(fingerprint Fingerprint, nodeHash uint64, within time.Duration) time.Duration {
	r := t.records[fingerprint]
	if r == nil {
		return 0
	}
	wait := time.Duration(probeTurn(fingerprint, r.nextProbe(), nodeHash) * float64(within))
	if r.waitedFor == r.nextProbe() {
		wait -= r.waited
	}
	return max(wait, 0)
}

// AddProbeWait records that a request of this node has waited for its turn to claim the next probe, and has ended before it.
func (t *Table) AddProbeWait(fingerprint Fingerprint, waited time.Duration) {
	r := t.records[fingerprint]
	if r == nil {
		return
	}
	if next := r.nextProbe(); r.waitedFor != next {
		r.waited, r.waitedFor = 0, next
	}
	r.waited += waited
}

func (r *record) nextProbe() ClaimedProbe { return ClaimedProbe{Epoch: r.epoch, Number: r.probes + 1} }

// probeTurn returns the share of the time for claims, 0 to 1, after which a node claims the probe. Turns are exponentially distributed,
// late ones the most frequent: however many nodes claim, few of them come within a short time of the first one, and the others find its
// claim.
func probeTurn(fingerprint Fingerprint, probe ClaimedProbe, nodeHash uint64) float64 {
	var buffer [32]byte
	binary.LittleEndian.PutUint64(buffer[0:], uint64(fingerprint))
	binary.LittleEndian.PutUint64(buffer[8:], probe.Epoch)
	binary.LittleEndian.PutUint64(buffer[16:], uint64(probe.Number))
	binary.LittleEndian.PutUint64(buffer[24:], nodeHash)
	uniform := (float64(xxhash.Sum64(buffer[:])) + 1) / math.MaxUint64
	return min(max(1+math.Log(uniform)/math.Log(probeClaimants), 0), 1)
}
