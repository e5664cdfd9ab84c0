package main

import (
	"fmt"
	"strings"

	"github.com/sardinereach/sardinereach/api/operatorv1"
)

// changeJSON is the JSON output for the change of one service or client account.
type changeJSON struct {
	Service     string   `json:"service,omitempty"`
	Account     string   `json:"account,omitempty"`
	Outcome     string   `json:"outcome"`
	Revision    int64    `json:"revision"`
	Differences []string `json:"differences,omitempty"`
	Warnings    []string `json:"warnings,omitempty"`
	Error       string   `json:"error,omitempty"`
	// Place is the position in the file of what the error is about.
	Place string `json:"place,omitempty"`
}

// changesJSON is the JSON output of apply and diff.
type changesJSON struct {
	Changes      []changeJSON `json:"changes"`
	Revision     int64        `json:"revision"`
	NodesInForce int32        `json:"nodes_in_force"`
	NodesBehind  []string     `json:"nodes_behind,omitempty"`
}

func (call *invocation) changesToJSON(answer *operatorv1.ApplyResponse) changesJSON {
	converted := changesJSON{
		Changes:      []changeJSON{},
		Revision:     answer.GetRevision(),
		NodesInForce: answer.GetNodesInForce(),
		NodesBehind:  answer.GetNodesBehind(),
	}
	for _, change := range answer.GetChanges() {
		converted.Changes = append(converted.Changes, changeJSON{
			Service:     change.GetService(),
			Account:     change.GetAccount(),
			Outcome:     change.GetOutcome(),
			Revision:    change.GetRevision(),
			Differences: change.GetDifferences(),
			Warnings:    change.GetWarnings(),
			Error:       change.GetError(),
			Place:       call.errorPlace(change),
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
	fmt.Fprintf(call.out, "%s: %s\n", titleOf(change), call.outcomeText(change))
	for _, difference := range change.GetDifferences() {
		fmt.Fprintf(call.out, "  %s\n", difference)
	}
	if change.GetError() != "" {
		call.printChangeError(change)
	}
	for _, warning := range change.GetWarnings() {
		call.printStderr("%s: warning: %s", titleOf(change), warning)
	}
}

func (call *invocation) printChangeError(change *operatorv1.ServiceChange) {
	text := titleOf(change) + ": " + change.GetError()
	if place := call.errorPlace(change); place != "" {
		text = place + ": " + text
	}
	call.printStderr("%s", text)
}

// titleOf returns the kind and the name of what was changed.
func titleOf(change *operatorv1.ServiceChange) string {
	if change.GetAccount() != "" {
		return "account " + change.GetAccount()
	}
	return "service " + change.GetService()
}

// errorPlace returns the position in the file of what the error of an account's change is about: a key, or else the account's name. It
// is empty for a change without an error.
func (call *invocation) errorPlace(change *operatorv1.ServiceChange) string {
	account := call.accounts[change.GetAccount()]
	if account == nil || change.GetError() == "" {
		return ""
	}
	place := account.Place
	if key := int(change.GetKey()); key > 0 && key <= len(account.KeyPlaces) {
		place = account.KeyPlaces[key-1]
	}
	return fmt.Sprintf("%s: %s", call.arguments[0], place)
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
