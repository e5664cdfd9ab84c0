package operator

import (
	"fmt"
	"strings"
	"time"

	"github.com/sardinereach/sardinereach/api/operatorv1"
)

// PartialPrefix begins each warning that facts are missing from the answer. sardinereachctl then ends with its own exit
// code.
const PartialPrefix = "partial answer: "

func freshnessOf(snapshot *Snapshot) *operatorv1.Freshness {
	freshness := &operatorv1.Freshness{
		Node:           string(snapshot.Node),
		ConfigRevision: snapshot.ConfigRevision,
		SilentNodes:    silentNodes(snapshot),
	}
	var oldest time.Duration
	for _, node := range snapshot.Nodes {
		oldest = max(oldest, node.Age)
	}
	freshness.OldestMs = oldest.Milliseconds()
	return freshness
}

func silentNodes(snapshot *Snapshot) []string {
	var silent []string
	for _, node := range snapshot.Nodes {
		if node.Silent {
			silent = append(silent, string(node.Record.ID))
		}
	}
	return silent
}

// partialWarnings says which facts are missing from an answer that is made from the snapshot.
func partialWarnings(snapshot *Snapshot) []string {
	var warnings []string
	if silent := silentNodes(snapshot); len(silent) > 0 {
		text := fmt.Sprintf("%s%d of %d nodes are silent: %s", PartialPrefix, len(silent), len(snapshot.Nodes), strings.Join(silent, ", "))
		warnings = append(warnings, text)
	}
	return append(warnings, incompleteWarnings(snapshot)...)
}

func incompleteWarnings(snapshot *Snapshot) []string {
	if snapshot.Complete {
		return nil
	}
	return []string{fmt.Sprintf("%snode %s has not read the whole configuration", PartialPrefix, snapshot.Node)}
}
