package settings

import "sort"

// keySpec describes one key: whether it is optional, its default, and how its text is read into Settings.
type keySpec struct {
	optional bool
	// defaultText is the text used if an optional key is absent. Empty text leaves the zero value.
	defaultText string
	read        reader
}

// reader sets one field of the settings from the key's text. It returns a problem if the text is invalid.
type reader func(s *Settings, text string) *problem

// problem describes an invalid value and the valid values. Unlike a Fault it has no location.
type problem struct {
	text  string
	valid string
}

func required(read reader) keySpec { return keySpec{read: read} }

func optional(defaultText string, read reader) keySpec {
	return keySpec{optional: true, defaultText: defaultText, read: read}
}

// schema defines every section and its keys.
var schema = map[string]map[string]keySpec{
	"node": {
		"id":             required(nodeID),
		"region":         required(region),
		"failure_domain": required(failureDomain),
		"interface":      optional("own", nodeInterface),
	},
	"listen": {
		"callers":   required(callersAddress),
		"peers":     required(peersAddress),
		"operators": required(operatorsAddress),
		"upstreams": required(upstreamsAddress),
		"health":    optional("", healthAddress),
		"metrics":   optional("", metricsAddress),
	},
	"store": {
		"address": required(storeAddress),
		"timeout": optional("2s", storeTimeout),
	},
	"peers": {
		"seeds": optional("", seeds),
	},
	"operators": {
		"token": optional("", token),
	},
	"limits": {
		"max_body":              optional("16MB", maxBody),
		"max_header":            optional("64KB", maxHeader),
		"max_connections":       optional("8192", maxConnections),
		"max_requests":          optional("4096", maxRequests),
		"read_header_timeout":   optional("10s", readHeaderTimeout),
		"idle_timeout":          optional("2m", idleTimeout),
		"held_answers":          optional("32MB", retainedResponses),
		"queue_per_target":      optional("32", queuePerTarget),
		"link_bytes_per_second": optional("0", linkBytes),
	},
	"upstream": {
		"service": optional("", upstreamService),
	},
	"retries": {
		"share":            optional("0.1", retryShare),
		"fleet_per_second": optional("30", retryFleet),
		"burst":            optional("30", retryBurst),
		"window_extra":     optional("0", retryWindowExtra),
		"statuses":         optional("", retryStatuses),
	},
	"ejection": {
		"detector":    optional("yes", ejectionDetector),
		"permits":     optional("yes", ejectionPermits),
		"floor_share": optional("0", floorShare),
	},
	"shutdown": {
		"grace":     optional("30s", grace),
		"lame_duck": optional("500ms", lameDuck),
	},
}

// sectionNames returns the sections in alphabetical order.
func sectionNames() []string { return sortedKeys(schema) }

// keyNames returns the keys of a section in alphabetical order.
func keyNames(section string) []string { return sortedKeys(schema[section]) }

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
