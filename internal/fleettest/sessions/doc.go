// Package sessions holds the sessions behind docs/operations.md: each script starts a fleet of real processes, causes
// the situation and checks what an operator and a caller see. It has no code outside its tests.
package sessions
