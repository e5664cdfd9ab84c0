package distribution

import (
	"strings"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/membership"
)

// Prefixes of the store that are distributed.
const (
	ConfigPrefix     = "config/"
	EjectionPrefix   = "ejections/"
	QuarantinePrefix = "quarantine/"
	MemberPrefix     = "members/"
)

// tables hold what the node knows. The lock of the Distributor guards them.
type tables struct {
	members    *membership.Table
	config     *config.Table
	ejections  *auxiliary
	quarantine *auxiliary
}

// table returns the table that holds the key or prefix, nil if it is not distributed.
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
func (t *tables) auxiliary(prefix string) *auxiliary {
	switch prefix {
	case EjectionPrefix:
		return t.ejections
	case QuarantinePrefix:
		return t.quarantine
	}
	return nil
}
