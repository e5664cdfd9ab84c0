package eject

import "github.com/sardinereach/sardinereach/internal/model"

// keyPrefix is the prefix of the store keys of permit documents.
const keyPrefix = "ejections/"

// Key returns the store key of a service's permit document.
func Key(service model.ServiceName) string { return keyPrefix + string(service) }
