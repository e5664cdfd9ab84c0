package main

import (
	"fmt"

	"github.com/sardinereach/sardinereach/internal/statement"
)

// checkJSON is the JSON output of a check that found no errors.
type checkJSON struct {
	Services int `json:"services"`
	Routes   int `json:"routes"`
	Accounts int `json:"accounts"`
}

// check parses and validates the declarations of a file without calling a node.
func (call *invocation) check() int {
	text, err := call.read(call.arguments[0])
	if err != nil {
		return call.reportFileError(err)
	}
	declarations, err := statement.ParseDeclarations(text)
	if err != nil {
		return call.reportParseError(call.arguments[0], text, err)
	}
	counts := count(declarations)
	if call.output == "json" {
		call.printJSON(counts)
		return exitOK
	}
	fmt.Fprintf(call.out, "no faults; services: %d, routes: %d, accounts: %d\n", counts.Services, counts.Routes, counts.Accounts)
	return exitOK
}

func count(declarations []statement.Declaration) checkJSON {
	var counts checkJSON
	for i := range declarations {
		if declarations[i].Account != nil {
			counts.Accounts++
			continue
		}
		counts.Services++
		counts.Routes += len(declarations[i].Service.Routes)
	}
	return counts
}
