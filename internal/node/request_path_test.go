package node

import (
	"fmt"
	"testing"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against a request without a key whose target reads its path as one that requires a key.
func TestPathOfKeyedRouteInOtherWordsNeedsTheKey(t *testing.T) {
	target, received := startRecorder(t)
	a, address := startKeyed(t, target)
	for path, want := range map[string]string{
		"/open/%2F..%2Fs":        "400 not-run: path_ambiguous",
		"/open/../s":             "400 not-run: path_ambiguous",
		"http://h/open/%2e%2e/s": "400 not-run: path_ambiguous",
		"/open/%2fsub?x=../s":    "200",
		"/%73":                   "401 not-run: api_key_required",
		"/s%2Fx":                 "404 not-run: no_route",
	} {
		res, err := roundTrip(t, address, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path))
		if err != nil {
			t.Fatal(err)
		}
		if got := refusalTextOf(t, res); got != want {
			t.Errorf("%s: %s, want %s", path, got, want)
		}
	}
	if len(received) != 1 {
		t.Errorf("%d runs, want one", len(received))
	}
	for uri, want := range map[string]verdict.Reason{"/%73": verdict.AccessUnchecked, "/open/%2e%2e/s": verdict.PathAmbiguous, "/open": ""} {
		refusal := a.refuseUnchecked(&peerv1.ForwardHead{Host: "h", Method: "GET", Uri: uri})
		if refusal == nil && want != "" || refusal != nil && refusal.Reason != want {
			t.Errorf("unchecked %s: %v, want %s", uri, refusal, want)
		}
		_, refusal = requestFromHead(a.view.Load(), &peerv1.ForwardHead{Host: "h", Method: "GET", Uri: uri}, nil, 1)
		if refusal == nil && want != "" || refusal != nil && refusal.Reason != want {
			t.Errorf("redeemed %s: %v, want %s", uri, refusal, want)
		}
	}
}
