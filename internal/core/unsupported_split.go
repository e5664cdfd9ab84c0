package core

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// withoutSplitsTo returns the service with an unsupported route in place of each route that sends requests to a service that this
// build cannot apply. It returns the service itself if there is none.
func withoutSplitsTo(
	services map[model.ServiceName]*declaration.Service, service *declaration.Service,
) *declaration.Service {
	changed := service
	for i := range service.Routes {
		reason := splitRefusal(services, &service.Routes[i])
		if reason == nil {
			continue
		}
		if changed == service {
			changed = new(*service)
			changed.Routes = slices.Clone(service.Routes)
		}
		changed.Routes[i].MarkUnsupported(reason)
	}
	return changed
}

// splitRefusal returns the reason why the requests of the route are refused for one of the services of its split, nil if there is
// none.
func splitRefusal(services map[model.ServiceName]*declaration.Service, route *declaration.Route) error {
	if route.Unsupported != "" {
		return nil
	}
	for _, share := range route.Split {
		if service := services[share.Service]; service != nil && service.Unsupported != "" {
			return errors.Errorf("service %s: %s", service.Name, service.Unsupported)
		}
	}
	return nil
}
