package quarantine

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// probeClaimants is the number of nodes up to which the writes for one probe do not grow with the fleet.
const probeClaimants = 10_000

// ProbeTurn returns the share of the time for claims, 0 to 1, after which a node claims the next probe of the fingerprint. Turns are
// exponentially distributed, late ones the most frequent: however many nodes claim, few of them come within a short time of the first
// one, and the others find its claim. nodeHash is a hash of the node; the same node gets another turn for each probe.
func (t *Table) ProbeTurn(fingerprint Fingerprint, nodeHash uint64) float64 {
	var next ClaimedProbe
	if r := t.records[fingerprint]; r != nil {
		next = ClaimedProbe{Epoch: r.epoch, Number: r.probes + 1}
	}
	return probeTurn(fingerprint, next, nodeHash)
}

func probeTurn(fingerprint Fingerprint, probe ClaimedProbe, nodeHash uint64) float64 {
	var buffer [32]byte
	binary.LittleEndian.PutUint64(buffer[0:], uint64(fingerprint))
	binary.LittleEndian.PutUint64(buffer[8:], probe.Epoch)
	binary.LittleEndian.PutUint64(buffer[16:], uint64(probe.Number))
	binary.LittleEndian.PutUint64(buffer[24:], nodeHash)
	uniform := (float64(xxhash.Sum64(buffer[:])) + 1) / math.MaxUint64
	return min(max(1+math.Log(uniform)/math.Log(probeClaimants), 0), 1)
}
