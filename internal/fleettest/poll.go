package fleettest

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// Poll calls check until it returns nil. If ctx ends first, Poll returns the last error of check.
func Poll(ctx context.Context, what string, check func(context.Context) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "timed out waiting for %s", what)
		case <-ticker.C:
		}
	}
}
