package retry

// BudgetLimits sets how many retries of a service an accepting node makes.
type BudgetLimits struct {
	// Share is the number of retries that each real request adds.
	Share float64
	// MinPerSecond is the number of retries a second that need no real requests.
	MinPerSecond float64
	// Burst is the greatest number of retries that real requests can save up.
	Burst float64
}

const (
	defaultShare        = 0.1
	defaultMinPerSecond = 3
	defaultBurst        = 30
)

// DefaultBudgetLimits returns 10% of real requests and 3 retries a second.
func DefaultBudgetLimits() BudgetLimits {
	return BudgetLimits{Share: defaultShare, MinPerSecond: defaultMinPerSecond, Burst: defaultBurst}
}
