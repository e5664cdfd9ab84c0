package fleettest

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// pollPeriod is the time between two looks at a condition.
const pollPeriod = 20 * time.Millisecond

// Poll returns nil once check does. If ctx ends first, it returns what check returned last.
func Poll(ctx context.Context, what string, check func(context.Context) error) error {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "gave up waiting for %s", what)
		case <-ticker.C:
		}
	}
}
