package quota

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Slots is the number of slots into which the accounts are divided. Each slot has a distributor of its own, and one call carries the
// demands of all accounts of a slot. All nodes must use the same number.
const Slots = 4

// SlotOf returns the slot of the account, 0 to Slots-1.
func SlotOf(account model.AccountName) int {
	return int(xxhash.Sum64String(string(account)) % Slots)
}

// Preferred returns the node that distributes the slot, by rendezvous hash, "" without nodes. Nodes that know the same nodes choose
// the same one, and a node that is lost changes only the slots that it distributed.
func Preferred(slot int, nodes []model.NodeID) model.NodeID {
	var best model.NodeID
	var bestScore uint64
	for _, node := range nodes {
		score := xxhash.Sum64String(strconv.Itoa(slot) + " " + string(node))
		if best == "" || score > bestScore || score == bestScore && node < best {
			best, bestScore = node, score
		}
	}
	return best
}
