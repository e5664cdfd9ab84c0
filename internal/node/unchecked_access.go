package node

import (
	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// refuseUnchecked returns the refusal of an attempt whose accepting node has made no decision on its access although the route
// requires one: its build does not know API keys, or this build does not know the decision.
func (a *acceptor) refuseUnchecked(head *peerv1.ForwardHead) *verdict.Error {
	// Attempts of nodes that decide on the access cost no search for the route.
	if isChecked(head.Access) {
		return nil
	}
	if match := a.view.Load().Table.Match(head.Host, head.Method, routing.PathOf(head.Uri)); match != nil {
		return uncheckedRefusal(head, match)
	}
	return nil
}

// uncheckedRefusal is as refuseUnchecked for a route that is known. What a route that this build does not understand requires is not
// known either.
func uncheckedRefusal(head *peerv1.ForwardHead, match *routing.Match) *verdict.Error {
	switch {
	case isChecked(head.Access):
		return nil
	case match.Route.RequiresKey:
		return verdict.Refused(verdict.AccessUnchecked, nil)
	}
	return match.Refusal()
}

func isChecked(access peerv1.Access) bool {
	switch access {
	case peerv1.Access_ACCESS_OPEN, peerv1.Access_ACCESS_KEY, peerv1.Access_ACCESS_NESTED:
		return true
	}
	return false
}
