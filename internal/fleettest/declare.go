package fleettest

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// Declare writes the layout's declarations directly into the store, for tests that do not cover the operator API. It
// returns an error if a service is already declared.
func (f *Fleet) Declare(ctx context.Context) error {
	declarations, err := statement.ParseDeclarations(f.options.Layout.Declarations)
	if err != nil {
		return errors.Wrap(err, "declarations")
	}
	if err := f.Store.waitReachable(ctx); err != nil {
		return err
	}
	for i := range declarations {
		service := &declarations[i].Service
		value, err := service.Encode()
		if err != nil {
			return err
		}
		if err := f.Store.create(ctx, config.ServicePrefix+string(service.Name), value); err != nil {
			return err
		}
	}
	return nil
}
