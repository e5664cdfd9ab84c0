package main

import (
	"fmt"
	"strings"

	"github.com/sardinereach/sardinereach/api/operatorv1"
)

// changeJSON is the JSON output for the change of one service.
type changeJSON struct {
	Service     string   `json:"service"`
	Outcome     string   `json:"outcome"`
	Revision    int64    `json:"revision"`
	Differences []string `json:"differences,omitempty"`
	Warnings    []string `json:"warnings,omitempty"`
	Error       string   `json:"error,omitempty"`
}

// changesJSON is the JSON output of apply and diff.
type changesJSON struct {
	Changes      []changeJSON `json:"changes"`
	Revision     int64        `json:"revision"`
	NodesInForce int32        `json:"nodes_in_force"`
	NodesBehind  []string     `json:"nodes_behind,omitempty"`
}

func changesToJSON(answer *operatorv1.ApplyResponse) changesJSON {
	converted := changesJSON{
		Changes:      []changeJSON{},
		Revision:     answer.GetRevision(),
		NodesInForce: answer.GetNodesInForce(),
		NodesBehind:  answer.GetNodesBehind(),
	}
	for _, change := range answer.GetChanges() {
		converted.Changes = append(converted.Changes, changeJSON{
			Service:     change.GetService(),
			Outcome:     change.GetOutcome(),
			Revision:    change.GetRevision(),
			Differences: change.GetDifferences(),
			Warnings:    change.GetWarnings(),
			Error:       change.GetError(),
		})
	}
	return converted
}

func (call *invocation) printChanges(answer *operatorv1.ApplyResponse) {
	for _, change := range answer.GetChanges() {
		call.printChange(change)
	}
}

func (call *invocation) printChange(change *operatorv1.ServiceChange) {
	fmt.Fprintf(call.out, "service %s: %s\n", change.GetService(), call.outcomeText(change))
	for _, difference := range change.GetDifferences() {
		fmt.Fprintf(call.out, "  %s\n", difference)
	}
	if change.GetError() != "" {
		call.printStderr("service %s: %s", change.GetService(), change.GetError())
	}
	for _, warning := range change.GetWarnings() {
		call.printStderr("service %s: warning: %s", change.GetService(), warning)
	}
}

func (call *invocation) outcomeText(change *operatorv1.ServiceChange) string {
	outcome := change.GetOutcome()
	if call.dryRun && (outcome == "created" || outcome == "changed") {
		return "would be " + outcome
	}
	if change.GetRevision() == 0 {
		return outcome
	}
	return fmt.Sprintf("%s, revision %d", outcome, change.GetRevision())
}

// printRollout prints on how many nodes the revision is active.
func (call *invocation) printRollout(answer *operatorv1.ApplyResponse) {
	if call.dryRun || answer.GetRevision() == 0 {
		return
	}
	behind := answer.GetNodesBehind()
	total := int(answer.GetNodesInForce()) + len(behind)
	fmt.Fprintf(call.out, "revision %d in force on %d of %d nodes\n", answer.GetRevision(), answer.GetNodesInForce(), total)
	if len(behind) > 0 {
		call.printStderr("warning: not seen in force on %s", strings.Join(behind, ", "))
	}
}
