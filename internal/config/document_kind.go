package config

import "strings"

// IsKnownKind reports whether this build knows the kind of the document with the key. A document of another kind has no effect.
func IsKnownKind(key string) bool {
	return strings.HasPrefix(key, ServicePrefix) || strings.HasPrefix(key, AccountPrefix)
}
