package fleettest

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// Declare writes the layout's declarations into the store, without a daemon. It is for tests whose subject is not the
// operators' API, and returns an error if a service is declared already.
func (f *Fleet) Declare(ctx context.Context) error {
	declarations, err := statement.ParseDeclarations(f.options.Layout.Declarations)
	if err != nil {
		return errors.Wrap(err, "declarations")
	}
	if err := f.Store.waitUp(ctx); err != nil {
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
