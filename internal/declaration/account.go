package declaration

import (
	"math"

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
	// Unsupported is the reason why this build cannot apply the account as it is declared; requests with its keys are refused. It is
	// empty for an account that is in force. If KeyHashes is empty, too, the keys of the account are not known.
	Unsupported string `json:"unsupported,omitempty"`
}

// IsLimited reports whether the account has a quota.
func (a *Account) IsLimited() bool { return a.RatePerSecond > 0 }

// maxQuota bounds rates and bursts, so that sums over all nodes stay exact enough.
const maxQuota = 1e9

// Validate returns nil, or an error that names the invalid field and the values that are valid.
func (a *Account) Validate() error {
	if a.Name == "" {
		return errors.New("account without a name")
	}
	if a.Unsupported != "" {
		return nil
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
