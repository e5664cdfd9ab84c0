package node

import (
	"net/url"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// refuseUnchecked returns the refusal of an attempt whose accepting node has made no decision on its access although the route
// requires one: its build does not know API keys, or this build does not know the decision.
func (a *acceptor) refuseUnchecked(head *peerv1.ForwardHead) *verdict.Error {
	// Attempts of nodes that decide on the access cost no search for the route.
	if isChecked(head.Access) {
		return nil
	}
	uri, err := url.ParseRequestURI(head.Uri)
	if err != nil {
		return nil
	}
	if match := a.view.Load().Table.Match(head.Host, head.Method, uri.Path); match != nil {
		return uncheckedRefusal(head, match.Route)
	}
	return nil
}

// uncheckedRefusal is as refuseUnchecked for a route that is known.
func uncheckedRefusal(head *peerv1.ForwardHead, route *declaration.Route) *verdict.Error {
	if route.RequiresKey && !isChecked(head.Access) {
		return verdict.Refused(verdict.AccessUnchecked, nil)
	}
	return nil
}

func isChecked(access peerv1.Access) bool {
	switch access {
	case peerv1.Access_ACCESS_OPEN, peerv1.Access_ACCESS_KEY, peerv1.Access_ACCESS_NESTED:
		return true
	}
	return false
}
