package node

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/retry"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// refusalTextOf returns status and reason of a refusal in a dialect without a header for the reason.
func refusalTextOf(t *testing.T, res *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", res.StatusCode, body))
}

// Guards against a request that runs without the one known key that its route requires, and against a refusal that does not say that
// nothing ran and which header is missing.
func TestRequestWithoutAccessIsRefused(t *testing.T) {
	target, received := startRecorder(t)
	a, address := startKeyed(t, target)
	for name, c := range map[string]struct{ fields, want string }{
		"no key":              {"", "401 not-run: api_key_required"},
		"empty key":           {"Api-Key: \r\n", "401 not-run: api_key_required"},
		"two keys":            {"Api-Key: " + testKey + "\r\nApi-Key: other\r\n", "401 not-run: api_key_required"},
		"two spellings":       {"Api-Key: " + testKey + "\r\nApi_Key: other\r\n", "401 not-run: api_key_required"},
		"unknown key":         {"Api-Key: other\r\n", "401 not-run: api_key_unknown"},
		"two keys in one":     {"Api-Key: " + testKey + ", " + testKey + "\r\n", "401 not-run: api_key_unknown"},
		"nested in no run":    {"Request-Id: 8.1\r\n", "401 not-run: api_key_required"},
		"body is not read":    {"Content-Length: 9\r\n", "401 not-run: api_key_required"},
		"account of a caller": {"Account: a1\r\n", "401 not-run: api_key_required"},
	} {
		res, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\n"+c.fields+"\r\n")
		if err != nil {
			t.Fatal(err)
		}
		if got := refusalTextOf(t, res); got != c.want || res.Header.Get("WWW-Authenticate") != `ApiKey header="Api-Key"` {
			t.Errorf("%s: %s, %q; want %s", name, got, res.Header.Get("WWW-Authenticate"), c.want)
		}
	}
	view := *a.view.Load()
	view.Accounts = nil
	a.view.Store(&view)
	res, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nApi-Key: "+testKey+"\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	if got := refusalTextOf(t, res); got != "503 not-run: accounts_unknown" || res.Header.Get("Retry-After") == "" {
		t.Errorf("without accounts: %s", got)
	}
	if len(received) != 0 {
		t.Errorf("%d of the refused requests have run", len(received))
	}
}

// Guards against an open route that refuses a request for its key.
func TestOpenRouteServesWithAnyKey(t *testing.T) {
	target, received := startRecorder(t)
	_, address := startKeyed(t, target)
	for fields, account := range map[string]string{
		"": "", "Api-Key: other\r\n": "", "Api-Key: " + testKey + "\r\nApi-Key: other\r\n": "", "Api-Key: " + testKey + "\r\n": "a1",
	} {
		res, err := roundTrip(t, address, "GET /open HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n")
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("%q: %v %v", fields, res, err)
		}
		if header := <-received; header.Get("Account") != account || header.Get("Api-Key") != "" {
			t.Errorf("%q: the upstream gets %v", fields, header)
		}
	}
}

// Guards against a request that runs with a key that was withdrawn while its body was on its way.
func TestKeyWithdrawnBeforeTheFirstAttempt(t *testing.T) {
	target, received := startRecorder(t)
	a, address := startKeyed(t, target)
	for want, accounts := range map[string]map[string]string{
		"401 not-run: api_key_unknown": {}, "503 not-run: accounts_unknown": {testKey: "a2"}, "200": {testKey: "a1", "more": "a2"},
	} {
		setAccounts(a, map[string]string{testKey: "a1"})
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "PUT /s HTTP/1.1\r\nHost: h\r\nApi-Key: %s\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n", testKey)
		reader := bufio.NewReader(c)
		if line, err := reader.ReadString('\n'); err != nil || !strings.Contains(line, " 100 ") {
			t.Fatalf("%s %v, want the request for the body", line, err)
		}
		if _, err := reader.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		setAccounts(a, accounts)
		fmt.Fprint(c, "b")
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got := refusalTextOf(t, res); got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
	if len(received) != 1 {
		t.Errorf("%d runs, want one", len(received))
	}
}

// Guards against a retry that runs with a withdrawn key, and against "not run" for a request that may have run before.
func TestKeyWithdrawnBeforeARetry(t *testing.T) {
	for name, c := range map[string]struct{ answer, want string }{
		"after a refusal of the upstream": {"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", "401 not-run: api_key_unknown"},
		"after a lost run":                {"", "504 may-have-run: upstream_lost"},
	} {
		var a *acceptor
		var address string
		var runs atomic.Int32
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			setAccounts(a, nil)
			connection, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(connection, c.answer)
				_ = connection.Close()
			}
		}))
		defer target.Close()
		a, address = startKeyed(t, strings.TrimPrefix(target.URL, "http://"))
		res, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nApi-Key: "+testKey+"\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		if got := refusalTextOf(t, res); got != c.want || runs.Load() != 1 {
			t.Errorf("%s: %s after %d runs, want %s after one", name, got, runs.Load(), c.want)
		}
	}
}

// Guards against a hedge that runs with a key that was withdrawn after the first run had begun, and against the loss of that run.
func TestKeyWithdrawnBeforeAHedge(t *testing.T) {
	first, second := newBlockingTarget(t, "one"), newBlockingTarget(t, "two")
	a, address := startHedging(t, first, second)
	log := logInto(a)
	a.view.Load().Service("s").Service.Routes[0].RequiresKey = true
	setAccounts(a, map[string]string{testKey: "a1"})
	go func() {
		for first.runs.Load()+second.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		setAccounts(a, nil)
		for !strings.Contains(log.text(), "api_key_unknown") {
			time.Sleep(time.Millisecond)
		}
		close(first.released)
		close(second.released)
	}()
	res, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nSardinereach-Api-Key: "+testKey+"\r\nConnection: close\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	if runs := first.runs.Load() + second.runs.Load(); res.StatusCode != 200 || runs != 1 {
		t.Errorf("status %d after %d runs, want the response of the first run", res.StatusCode, runs)
	}
}

// Guards against a run that cannot make its calls, because these have no key.
func TestRequestOfARunNeedsNoKey(t *testing.T) {
	var address string
	accounts := make(chan []string, 2)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		accounts <- r.Header["Account"]
		id := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", id)
		if id != "7" {
			return
		}
		res, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nRequest-Id: 7.1\r\nAccount: a1\r\n\r\n")
		if err != nil || res.StatusCode != 200 {
			t.Errorf("nested request: %v %v", res, err)
		}
	}))
	defer target.Close()
	var a *acceptor
	a, address = startKeyed(t, strings.TrimPrefix(target.URL, "http://"))
	res, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nApi-Key: "+testKey+"\r\n\r\n")
	if err != nil || res.StatusCode != 200 {
		t.Fatalf("%v %v", res, err)
	}
	if parent, nested := <-accounts, <-accounts; len(parent) != 1 || len(nested) != 0 {
		t.Errorf("accounts %v and %v, want one and none", parent, nested)
	}
	a.clock = newClock()
	res, err = roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nRequest-Id: 7.1\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	if got := refusalTextOf(t, res); got != "503 not-run: accounts_unknown" {
		t.Errorf("after the start of the node: %s", got)
	}
}

// Guards against an attempt of a node that does not know keys, which runs although its route requires one.
func TestUncheckedAttemptIsRefusedWhereARouteRequiresAKey(t *testing.T) {
	target, received := startRecorder(t)
	a, _ := startKeyed(t, target)
	a.admitter.checkAccess = a.refuseUnchecked
	const ofLaterBuild = peerv1.Access(90)
	for _, c := range []struct {
		uri    string
		access peerv1.Access
		want   string
	}{
		{"/s/1?q", peerv1.Access_ACCESS_UNCHECKED, "access_unchecked"},
		{"/s/1?q", ofLaterBuild, "access_unchecked"},
		{"/s/1?q", peerv1.Access_ACCESS_KEY, ""},
		{"/s/1?q", peerv1.Access_ACCESS_NESTED, ""},
		{"/s/1?q", peerv1.Access_ACCESS_OPEN, ""},
		{"/open", peerv1.Access_ACCESS_UNCHECKED, ""},
		{"/other", peerv1.Access_ACCESS_UNCHECKED, ""},
	} {
		head := &peerv1.ForwardHead{
			Attempt: string(a.newAttemptID()), Service: "s", Target: "t1", Idempotent: true, Method: "GET", Uri: c.uri, TimeoutMs: 9_000,
			Incarnation: 1, AdmitBeforeMs: (a.clock.now() + maxLocalAdmitAhead).Milliseconds(), Access: c.access,
		}
		trailer := a.admitter.run(t.Context(), head, peer.Bytes(nil), new(recordingSink))
		if trailer.Reason != c.want || trailer.Reason != "" && trailer.Verdict != int32(verdict.NotRun) {
			t.Errorf("%s %s: %v, want %q", c.uri, c.access, trailer, c.want)
		}
	}
	if len(received) != 5 {
		t.Errorf("%d runs, want 5", len(received))
	}
}

// Guards against "may have run" for a request that a node of a later build has refused for a reason that this build does not know.
func TestRefusalForAnUnknownReasonIsNotRun(t *testing.T) {
	trailer := &peerv1.AnswerTrailer{Verdict: int32(verdict.NotRun), Reason: "reason_of_a_later_build"}
	err := trailerOutcome(&request{head: new(peerv1.ForwardHead)}, trailer, newDelivery(nil, 0))
	if err.Verdict != verdict.NotRun {
		t.Fatalf("%v, want not-run", err)
	}
	in := retry.Input{Class: declaration.NonIdempotent, Attempt: 1, Refusals: 1, Untried: 1, Remaining: time.Minute, Err: err}
	if d := retry.Decide(in, nil, 0, rand.New(rand.NewPCG(1, 2))); !d.Retry {
		t.Errorf("%+v, want a retry at another target", d)
	}
}
