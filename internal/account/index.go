package account

import (
	"github.com/sardinereach/sardinereach/internal/declaration"
)

const (
	// shardBits is the number of bits of a key hash that select its shard.
	shardBits = 10
	// shardCount is the number of shards of an index. A change of one account copies the shards of its keys and the list of all
	// shards.
	shardCount = 1 << shardBits
)

// index finds the entries of a key hash. It is immutable.
type index [shardCount]shard

// shardOf returns the number of the shard of a key hash. The hashes are evenly distributed.
func shardOf(hash declaration.KeyHash) int {
	return int(hash[0])<<(shardBits-8) | int(hash[1])>>(16-shardBits)
}

// find returns the entries of the hash, one for each account that has the key.
func (x *index) find(hash declaration.KeyHash) []entry { return x[shardOf(hash)].find(hash) }

// replaced returns the index without the entries of the removed accounts and with those of the added ones.
func (x *index) replaced(removed, added []*declaration.Account) *index {
	next := *x
	isRemoved := make(map[*declaration.Account]bool, len(removed))
	for _, account := range removed {
		isRemoved[account] = true
	}
	additions, touched := entriesByShard(added), entriesByShard(removed)
	for number := range additions {
		touched[number] = nil
	}
	for number := range touched {
		next[number] = x[number].replaced(isRemoved, additions[number])
	}
	return &next
}

// entriesByShard returns the entries of the accounts by the numbers of their shards.
func entriesByShard(accounts []*declaration.Account) map[int][]entry {
	entries := map[int][]entry{}
	for _, account := range accounts {
		for _, hash := range distinctHashes(account) {
			number := shardOf(hash)
			entries[number] = append(entries[number], entry{hash: hash, account: account})
		}
	}
	return entries
}
