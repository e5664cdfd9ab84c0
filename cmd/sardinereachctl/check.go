package main

import (
	"fmt"

	"github.com/sardinereach/sardinereach/internal/statement"
)

// checkJSON is the JSON output of a check that found no errors.
type checkJSON struct {
	Services int `json:"services"`
	Routes   int `json:"routes"`
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
	routes := 0
	for i := range declarations {
		routes += len(declarations[i].Service.Routes)
	}
	if call.output == "json" {
		call.printJSON(checkJSON{len(declarations), routes})
		return exitOK
	}
	fmt.Fprintf(call.out, "no faults; services: %d, routes: %d\n", len(declarations), routes)
	return exitOK
}
