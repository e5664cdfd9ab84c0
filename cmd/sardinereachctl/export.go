package main

import (
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/operator"
)

// exportJSON is the JSON output of export.
type exportJSON struct {
	Declarations string `json:"declarations"`
	Revision     int64  `json:"revision"`
	Partial      bool   `json:"partial"`
}

// export prints the declarations of all services.
func (call *invocation) export() int {
	client, err := call.client()
	if err != nil {
		return call.reportError(err)
	}
	ctx, cancel := call.context()
	defer cancel()
	answer, err := client.Export(ctx, connect.NewRequest(&operatorv1.ExportRequest{}))
	if err != nil {
		return call.reportError(err)
	}
	return call.printExport(answer.Msg)
}

func (call *invocation) printExport(answer *operatorv1.ExportResponse) int {
	partial := isPartialExport(answer.GetDeclarations())
	if call.output == "json" {
		call.printJSON(exportJSON{answer.GetDeclarations(), answer.GetRevision(), partial})
	} else {
		fmt.Fprint(call.out, answer.GetDeclarations())
	}
	if partial {
		return exitPartial
	}
	return exitOK
}

// isPartialExport reports whether the comments before the first declaration mark the export as partial.
func isPartialExport(text string) bool {
	for _, line := range strings.Split(text, "\n") {
		if !strings.HasPrefix(line, "#") {
			return false
		}
		if strings.HasPrefix(line, "# "+operator.PartialPrefix) {
			return true
		}
	}
	return false
}
