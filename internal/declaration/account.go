package declaration

import (
	"math"
	"regexp"
	"slices"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Account is the declaration of a client account. It never contains an API key, only hashes of keys.
type Account struct {
	Name model.AccountName `json:"name"`
	// KeyHashes identify the API keys of the account, as HashKey returns them.
	KeyHashes []KeyHash `json:"key_hashes,omitempty"`
	// Rank replaces the rank of the route for requests of the account; nil keeps the rank of the route.
	Rank *int `json:"rank,omitempty"`
	// RatePerSecond and Burst limit the requests of the account at all nodes together: RatePerSecond requests per second on
	// average, and Burst requests beyond that at once. A rate of 0 means no limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
	// Requires names what a build must be able to apply to serve the account, as Route.Requires does.
	Requires []string `json:"requires,omitempty"`
	// Unsupported is the reason why this build cannot apply the account as it is declared; requests with its keys are refused. It is
	// empty for an account that is in force. If KeyHashes is empty, too, the keys of the account are not known.
	Unsupported string `json:"unsupported,omitempty"`
	// KeysUnknown means that an unsupported account may have keys that KeyHashes lacks.
	KeysUnknown bool `json:"keys_unknown,omitempty"`
}

// HasUnknownKeys reports whether the account may have keys that KeyHashes lacks, so that a key that no account has may be one of its
// keys.
func (a *Account) HasUnknownKeys() bool {
	return a.Unsupported != "" && (a.KeysUnknown || len(a.KeyHashes) == 0)
}

// Equal reports whether the accounts are the same in all fields.
func (a *Account) Equal(b *Account) bool {
	return a.Name == b.Name && slices.Equal(a.KeyHashes, b.KeyHashes) && equalRanks(a.Rank, b.Rank) &&
		a.RatePerSecond == b.RatePerSecond && a.Burst == b.Burst && slices.Equal(a.Requires, b.Requires) &&
		a.Unsupported == b.Unsupported && a.KeysUnknown == b.KeysUnknown
}

func equalRanks(a, b *int) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// IsLimited reports whether the account has a quota.
func (a *Account) IsLimited() bool { return a.RatePerSecond > 0 }

// maxQuota bounds rates and bursts, so that sums over all nodes stay exact enough.
const maxQuota = 1e9

// accountNamePattern keeps names of accounts out that could break a header or a line of the log.
var accountNamePattern = regexp.MustCompile(`^[!-~]{1,200}$`)

// Validate returns nil, or an error that names the invalid field and the values that are valid. The name of an unsupported account
// only has to exist, because nothing is sent in its name.
func (a *Account) Validate() error {
	if a.Name == "" {
		return errors.New("account without a name")
	}
	if a.Unsupported != "" {
		return nil
	}
	if !accountNamePattern.MatchString(string(a.Name)) {
		return errors.Errorf("account name %q: use 1 to 200 printable ASCII characters without spaces", shorten(string(a.Name)))
	}
	if a.KeysUnknown {
		return errors.Errorf("account %s: only an unsupported account may have unknown keys", a.Name)
	}
	if err := validateRequirements(a.Requires); err != nil {
		return errors.Wrapf(err, "account %s", a.Name)
	}
	for _, limit := range []float64{a.RatePerSecond, a.Burst} {
		if math.IsNaN(limit) || limit < 0 || limit > maxQuota {
			return errors.Errorf("account %s: rate or burst %g: use 0 to %g", a.Name, limit, maxQuota)
		}
	}
	if a.Rank != nil && *a.Rank < 0 {
		return errors.Errorf("account %s: rank %d: use 0 or more", a.Name, *a.Rank)
	}
	return nil
}
