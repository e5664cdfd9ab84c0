// Package sessions tests the sessions of docs/operations.md. Each script starts a fleet of real processes, causes the
// situation that a section describes, and checks the output for operators and callers. It has no code outside its
// tests.
package sessions
