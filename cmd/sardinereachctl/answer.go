package main

import (
	"fmt"
	"strings"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/operator"
)

// answerJSON is the JSON output for the response to a statement.
type answerJSON struct {
	Message   string         `json:"message,omitempty"`
	Columns   []string       `json:"columns,omitempty"`
	Rows      [][]string     `json:"rows,omitempty"`
	Freshness *freshnessJSON `json:"freshness,omitempty"`
	Warnings  []string       `json:"warnings,omitempty"`
	Partial   bool           `json:"partial"`
}

type freshnessJSON struct {
	Node           string   `json:"node"`
	OldestMS       int64    `json:"oldest_ms"`
	SilentNodes    []string `json:"silent_nodes,omitempty"`
	ConfigRevision int64    `json:"config_revision"`
}

// printAnswer prints the response to a statement and returns the exit code.
func (call *invocation) printAnswer(answer *operatorv1.ExecuteResponse) int {
	if call.output == "json" {
		call.printJSON(toJSON(answer))
	} else {
		call.printPlain(answer)
	}
	if isPartial(answer.GetWarnings()) {
		return exitPartial
	}
	return exitOK
}

func isPartial(warnings []string) bool {
	for _, warning := range warnings {
		if strings.HasPrefix(warning, operator.PartialPrefix) {
			return true
		}
	}
	return false
}

func toJSON(answer *operatorv1.ExecuteResponse) answerJSON {
	converted := answerJSON{
		Message:  answer.GetMessage(),
		Columns:  columnsOf(answer),
		Rows:     rowsOf(answer),
		Warnings: answer.GetWarnings(),
		Partial:  isPartial(answer.GetWarnings()),
	}
	if fresh := answer.GetFreshness(); fresh != nil {
		converted.Freshness = &freshnessJSON{fresh.GetNode(), fresh.GetOldestMs(), fresh.GetSilentNodes(), fresh.GetConfigRevision()}
	}
	return converted
}

func columnsOf(answer *operatorv1.ExecuteResponse) []string {
	var names []string
	for _, column := range answer.GetColumns() {
		names = append(names, column.GetName())
	}
	return names
}

func rowsOf(answer *operatorv1.ExecuteResponse) [][]string {
	var rows [][]string
	for _, row := range answer.GetRows() {
		rows = append(rows, row.GetCells())
	}
	return rows
}

func (call *invocation) printPlain(answer *operatorv1.ExecuteResponse) {
	if answer.GetMessage() != "" {
		fmt.Fprintln(call.out, answer.GetMessage())
	}
	if len(answer.GetColumns()) > 0 {
		printTable(call.out, columnsOf(answer), rowsOf(answer))
	}
	call.printFreshness(answer)
}

// printFreshness writes to standard error, so that standard output contains only the table.
func (call *invocation) printFreshness(answer *operatorv1.ExecuteResponse) {
	if fresh := answer.GetFreshness(); fresh != nil {
		call.printStderr("node %s, configuration revision %d, oldest fact %d ms", fresh.GetNode(), fresh.GetConfigRevision(), fresh.GetOldestMs())
	}
	call.printWarnings(answer.GetWarnings())
}

func (call *invocation) printWarnings(warnings []string) {
	for _, warning := range warnings {
		call.printStderr("warning: %s", warning)
	}
}
