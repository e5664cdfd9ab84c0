// Package statement is the language of the operators: questions about the fleet, commands, and declarations of services.
// sardinereachctl, the API and declaration files use the same grammar. All functions are pure, and no input makes them
// panic.
package statement

// Statement is one question or command: *Show, *Explain, *Declare, *Drain, *Restore, *Remove, *Forbid, *Release or
// *Withdraw.
type Statement interface {
	// Verb returns the first word of the statement.
	Verb() string
}
