package node

import (
	"errors"
	"testing"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against requests of a route that is not understood being answered like requests without a route, or passed on to a
// less specific route.
func TestRequestsOfUnsupportedRouteAreRefused(t *testing.T) {
	a, address := startAcceptor(t)
	service := &declaration.Service{Name: "s", Routes: []declaration.Route{
		{Path: "/s"}, declaration.UnsupportedRoute("", "/s/odd", false, errors.New("unknown kind")),
	}}
	a.view.Store(core.BuildView(core.Inputs{Config: &config.Snapshot{
		Services: map[model.ServiceName]*declaration.Service{"s": service},
	}}))
	for path, want := range map[string]verdict.Reason{"/s/odd/1": verdict.RouteUnsupported, "/s/1": verdict.NoTarget} {
		res, err := roundTrip(t, address, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		if got := res.Header.Get(headerReason); res.StatusCode != 503 || got != string(want) {
			t.Errorf("%s: %d %s, want 503 %s", path, res.StatusCode, got, want)
		}
	}
}
