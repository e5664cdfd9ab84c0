// Package settings reads and validates the INI settings file of a daemon. Load reports every fault of the file at once,
// each with its line, its key and the valid values.
package settings

// Settings contains the complete, valid settings. Load fills in the defaults of absent keys.
type Settings struct {
	Node      Node
	Listen    Listen
	Store     Store
	Peers     Peers
	Operators Operators
	Upstream  Upstream
	Limits    Limits
	Retries   Retries
	Ejection  Ejection
	Shutdown  Shutdown
}
