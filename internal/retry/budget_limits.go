package retry

// BudgetLimits bounds the retries of one service at one accepting node.
type BudgetLimits struct {
	// Share is the number of retries that each request of a caller adds.
	Share float64
	// MinPerSecond is the number of retries per second that are allowed without requests.
	MinPerSecond float64
	// Burst is the maximum number of retries that can accumulate from requests.
	Burst float64
}

const (
	defaultShare        = 0.1
	defaultMinPerSecond = 3
	defaultBurst        = 30
)

// DefaultBudgetLimits allows retries for 10% of the requests and 3 retries per second, with a burst of 30.
func DefaultBudgetLimits() BudgetLimits {
	return BudgetLimits{Share: defaultShare, MinPerSecond: defaultMinPerSecond, Burst: defaultBurst}
}
