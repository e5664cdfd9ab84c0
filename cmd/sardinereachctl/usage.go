package main

import (
	"errors"
	"flag"
	"fmt"

	"github.com/sardinereach/sardinereach/internal/statement"
)

const usageText = `usage: sardinereachctl [-server ADDRESS] [-token-file FILE] [-output table|json] [-timeout TIME] COMMAND ...

  exec STATEMENT                               run one statement of the language
  apply FILE [-dry-run] [-force] [-wait]       apply declarations
  diff FILE                                    list what apply would change
  export                                       print all declarations with their revisions
  watch STATEMENT [-interval TIME] [-count N]  repeat a question
  check FILE                                   check declarations without a node
  hash-key                                     print the hash of the API key on the standard input

exit codes: 0 ok, 1 failed or refused, 2 usage or statement, 3 conflict, 4 partial answer, 5 unreachable`

// reportUsageError prints an error of the command line and the usage. A request for help is not an error: it prints only
// the usage, to standard output.
func reportUsageError(streams stdio, err error) int {
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(streams.out, usageText)
		return exitOK
	}
	streams.printStderr("sardinereachctl: %v", err)
	streams.printStderr("%s", usageText)
	return exitUsage
}

func unknownCommand(name string) error {
	var names []string
	for _, candidate := range commands() {
		names = append(names, candidate.name)
	}
	if near, ok := statement.Suggest(name, names); ok {
		return fmt.Errorf("unknown command %q; did you mean %q?", name, near)
	}
	return fmt.Errorf("unknown command %q", name)
}
