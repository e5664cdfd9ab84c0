// Package settings reads the INI settings of a daemon and checks them as a whole. Load reports every fault of the file
// at once, each with its line, its key and what would be valid.
package settings

// Settings is a complete, valid set of settings. Load fills in the defaults of absent keys.
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
