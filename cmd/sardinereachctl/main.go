// Command sardinereachctl queries and changes a fleet through the operators' listener of any node.
//
// Usage:
//
//	sardinereachctl [-server ADDRESS] [-token-file FILE] [-output table|json] [-timeout TIME] COMMAND ...
//
//	exec STATEMENT                          run one statement of the language
//	apply FILE [-dry-run] [-force] [-wait]  apply declarations
//	diff FILE                               list what apply would change
//	export                                  print all declarations with their revisions
//	watch STATEMENT [-interval TIME] [-count N]  run a query periodically
//	check FILE                              check declarations without a node
//	hash-key                                print the hash of the API key on the standard input
//
// FILE may be - for the standard input. The exit code is 0 for success, 1 if the call failed or was refused, 2 for an
// error in the usage, a statement or a declaration, 3 for a conflict with another change, 4 for a partial response, and
// 5 if the node cannot be reached. A command that succeeded while some nodes were unresponsive also returns 4, because
// these nodes may not have received the change yet.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], stdio{in: os.Stdin, out: os.Stdout, err: os.Stderr}))
}
