package operator

import (
	"fmt"
	"strings"
	"time"

	"github.com/sardinereach/sardinereach/api/operatorv1"
)

// PartialPrefix is the prefix of each warning that data is missing from the response. sardinereachctl returns a separate
// exit code for such a response.
const PartialPrefix = "partial answer: "

func freshnessOf(snapshot *Snapshot) *operatorv1.Freshness {
	freshness := &operatorv1.Freshness{
		Node:           string(snapshot.Node),
		ConfigRevision: snapshot.ConfigRevision,
		SilentNodes:    unresponsiveNodes(snapshot),
	}
	var oldest time.Duration
	for _, node := range snapshot.Nodes {
		oldest = max(oldest, node.Age)
	}
	freshness.OldestMs = oldest.Milliseconds()
	return freshness
}

func unresponsiveNodes(snapshot *Snapshot) []string {
	var names []string
	for _, node := range snapshot.Nodes {
		if node.Unresponsive {
			names = append(names, string(node.Record.ID))
		}
	}
	return names
}

// partialWarnings returns a warning for each kind of data that is missing from the snapshot.
func partialWarnings(snapshot *Snapshot) []string {
	var warnings []string
	if names := unresponsiveNodes(snapshot); len(names) > 0 {
		text := fmt.Sprintf("%s%d of %d nodes are silent: %s", PartialPrefix, len(names), len(snapshot.Nodes), strings.Join(names, ", "))
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
