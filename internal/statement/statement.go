// Package statement parses and formats the operators' language: queries about the fleet, commands, and declarations of services and
// client accounts. sardinereachctl, the operators' API and declaration files share its grammar. All functions are pure and
// must not panic on any input.
package statement

// Statement is one query or command: *Show, *Explain, *Declare, *Drain, *Restore, *Remove, *Forbid, *Release, *Withdraw, *AddKey,
// *WithdrawKey or *RemoveAccount.
type Statement interface {
	// Verb returns the first word of the statement.
	Verb() string
}
