package membership

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinereach/sardinereach/internal/model"
)

// WatchersPerDomain is the number of nodes of a failure domain that poll the store. There are two, so that the loss of
// one does not delay changes.
const WatchersPerDomain = 2

// Purposes are part of the hash input, so that elections for different duties are independent of each other. All nodes
// must use the same values.
const (
	purposeWatch  = "watch"
	purposeBridge = "bridge"
	purposeDelete = "reap"
	purposePull   = "pull"
	purposeRing   = "ring"
	purposeLoad   = "load"
)

// score is the rendezvous score of a node for a purpose.
func score(purpose string, salt uint64, id model.NodeID) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(salt)
	_, _ = digest.WriteString(purpose)
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

// mix hashes two numbers into the salt of an election.
func mix(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}

// Elect returns the count candidates with the highest rendezvous scores, the highest first. All nodes with the same
// candidates elect the same nodes, and the loss of a node moves only the duties of that node.
func Elect(purpose string, salt uint64, candidates []model.NodeID, count int) []model.NodeID {
	type scored struct {
		id    model.NodeID
		score uint64
	}
	best := make([]scored, 0, count+1)
	for _, id := range candidates {
		candidate := scored{id: id, score: score(purpose, salt, id)}
		index := sort.Search(len(best), func(i int) bool {
			return best[i].score < candidate.score || best[i].score == candidate.score && best[i].id > id
		})
		if index == count {
			continue
		}
		best = append(best, scored{})
		copy(best[index+1:], best[index:])
		best[index] = candidate
		best = best[:min(len(best), count)]
	}
	elected := make([]model.NodeID, len(best))
	for i, candidate := range best {
		elected[i] = candidate.id
	}
	return elected
}
