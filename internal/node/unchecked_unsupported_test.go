package node

import (
	"errors"
	"testing"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
)

// setUnsupported makes the route /s one that the node does not understand.
func setUnsupported(a *acceptor) {
	service := &declaration.Service{Name: "s", Routes: []declaration.Route{declaration.UnsupportedRoute("", "/s", false, errors.New("odd"))}}
	view := *a.view.Load()
	view.Table = core.BuildView(core.Inputs{Config: &config.Snapshot{
		Services: map[model.ServiceName]*declaration.Service{"s": service},
	}}).Table
	a.view.Store(&view)
}

// Guards against an unchecked attempt that runs where the admitting node does not understand the route.
func TestUncheckedAttemptOnUnsupportedRoute(t *testing.T) {
	target, received := startRecorder(t)
	a, _ := startKeyed(t, target)
	a.admitter.checkAccess = a.refuseUnchecked
	setUnsupported(a)
	head := &peerv1.ForwardHead{
		Attempt: string(a.newAttemptID()), Service: "s", Target: "t1", Idempotent: true, Method: "GET", Uri: "/s/1", TimeoutMs: 9_000,
		Incarnation: 1, AdmitBeforeMs: (a.clock.now() + maxLocalAdmitAhead).Milliseconds(),
	}
	if trailer := a.admitter.run(t.Context(), head, peer.Bytes(nil), new(recordingSink)); trailer.Reason == "" || len(received) != 0 {
		t.Errorf("%v, %d runs", trailer, len(received))
	}
}

// Guards against a redeemed ticket that runs on a route that the issuing node refuses.
func TestRedeemOnUnsupportedRoute(t *testing.T) {
	target, _ := startRecorder(t)
	a, _ := startKeyed(t, target)
	setUnsupported(a)
	head := &peerv1.ForwardHead{Method: "POST", Uri: "/s/1", TimeoutMs: 9_000, Access: peerv1.Access_ACCESS_OPEN}
	if _, refusal := requestFromHead(a.view.Load(), head, nil, 1); refusal == nil {
		t.Error("no refusal")
	}
}
