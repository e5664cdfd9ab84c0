package declaration

import (
	"slices"

	"github.com/pkg/errors"
)

// Names of what a build must be able to apply to use a part of the configuration.
const (
	// RequirementAPIKeys is the check of the API keys of client accounts. Every route with RequiresKey names it.
	RequirementAPIKeys = "api_keys"
)

// knownRequirements are the names that this build can apply.
var knownRequirements = []string{RequirementAPIKeys}

// validateRequirements returns an error for the first name that this build does not know.
func validateRequirements(names []string) error {
	for _, name := range names {
		if !slices.Contains(knownRequirements, name) {
			return errors.Errorf("requires %q, which this build does not know: use %q", shorten(name), knownRequirements)
		}
	}
	return nil
}

// withRequirement returns the sorted names together with the given one.
func withRequirement(names []string, name string) []string {
	all := append(slices.Clone(names), name)
	slices.Sort(all)
	return slices.Compact(all)
}

// withoutRequirement returns the names without the given one, nil if none is left.
func withoutRequirement(names []string, name string) []string {
	rest := slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
	if len(rest) == 0 {
		return nil
	}
	return rest
}
