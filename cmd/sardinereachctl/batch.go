package main

import (
	"cmp"
	"slices"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// maxBatchBytes limits the text of one Apply call, so that a large file does not exhaust the memory of a small node. A
// batch with a single block may be larger.
const maxBatchBytes = 256 << 10

// batches groups declarations into texts of at most limit bytes. Each text has at least one declaration. If one text is not enough,
// the accounts of a group stand together, because a node writes the whole group for each text.
func batches(declarations []statement.Declaration, limit int) []string {
	texts := split(declarations, limit)
	if len(texts) < 2 {
		return texts
	}
	return split(byGroup(declarations), limit)
}

// byGroup returns the accounts ordered by group, followed by the services in file order: an account is in force before a route requires
// its key.
func byGroup(declarations []statement.Declaration) []statement.Declaration {
	ordered := slices.Clone(declarations)
	slices.SortStableFunc(ordered, func(a, b statement.Declaration) int { return cmp.Compare(groupOf(a), groupOf(b)) })
	return ordered
}

// groupOf returns the group of an account, a number above all groups for a service.
func groupOf(d statement.Declaration) int {
	if d.Account == nil {
		return declaration.AccountGroups
	}
	return declaration.GroupOf(d.Account.Account.Name)
}

func split(declarations []statement.Declaration, limit int) []string {
	var texts []string
	for i := range declarations {
		block := statement.Format(declarations[i])
		last := len(texts) - 1
		if last < 0 || len(texts[last])+len(block) > limit {
			texts = append(texts, block)
			continue
		}
		texts[last] += block
	}
	return texts
}

// mergeResponses adds the response of one batch to those before it. The active nodes and the nodes that are
// behind are those of the newest revision.
func mergeResponses(all, next *operatorv1.ApplyResponse) *operatorv1.ApplyResponse {
	if all == nil {
		return next
	}
	all.Changes = append(all.Changes, next.Changes...)
	if next.GetRevision() >= all.GetRevision() {
		all.Revision = next.Revision
		all.NodesBehind = next.NodesBehind
		all.NodesInForce = next.NodesInForce
	}
	return all
}
