package distribution

import (
	"strings"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/membership"
)

// Store prefixes that are distributed.
const (
	ConfigPrefix     = "config/"
	EjectionPrefix   = "ejections/"
	QuarantinePrefix = "quarantine/"
	MemberPrefix     = "members/"
)

// tables hold the cached records and documents. Distributor.mu guards them.
type tables struct {
	members    *membership.Table
	config     *config.Table
	ejections  *auxiliaryTable
	quarantine *auxiliaryTable
}

// table returns the table of the key or prefix, nil if it is not distributed as a document.
func (t *tables) table(key string) *config.Table {
	switch {
	case strings.HasPrefix(key, ConfigPrefix):
		return t.config
	case strings.HasPrefix(key, EjectionPrefix):
		return t.ejections.table
	case strings.HasPrefix(key, QuarantinePrefix):
		return t.quarantine.table
	}
	return nil
}

// auxiliary returns the auxiliary table of the prefix, nil for the configuration.
func (t *tables) auxiliary(prefix string) *auxiliaryTable {
	switch prefix {
	case EjectionPrefix:
		return t.ejections
	case QuarantinePrefix:
		return t.quarantine
	}
	return nil
}
