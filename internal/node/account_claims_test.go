package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/account"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/once"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// startKeyedClaims serves an acceptor in the project's own dialect that runs requests with idempotency keys. Its route /s requires an
// API key, its route /open does not.
func startKeyedClaims(t *testing.T) (a *acceptor, address string, runs func() int) {
	t.Helper()
	target, received := startRecorder(t)
	a, address = startAcceptor(t)
	addTarget(t, a, &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s", RequiresKey: true}, {Path: "/open"}}}, target)
	a.once.claims = once.NewClaims(fakestore.New(fakestore.Options{}), a.self.ID, a.self.Incarnation, once.Options{})
	a.once.tickets = testTickets()
	return a, address, func() int { return len(received) }
}

// setKeyState sets what the configuration says of testKey: the name of its account, "unknown" or "undecided".
func setKeyState(a *acceptor, state string) {
	switch state {
	case "unknown":
		setAccounts(a, nil)
	case "undecided":
		view := *a.view.Load()
		view.Accounts = account.NewTable(nil).Replaced(nil, true)
		a.setView(&view)
	default:
		setAccounts(a, map[string]string{testKey: state})
	}
}

// post sends a request with the header fields and returns its status, with the reason and "1" for a recorded answer.
func post(t *testing.T, address, path string, fields ...string) string {
	t.Helper()
	head := strings.Join(append([]string{"POST " + path + " HTTP/1.1", "Host: h", "Content-Length: 1"}, fields...), "\r\n")
	res, err := roundTrip(t, address, head+"\r\n\r\nb")
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s%s", res.StatusCode, res.Header.Get(headerReason), res.Header.Get(headerReplayed)))
}

// sendAgain sends one request, with the given header field, once in each state of testKey. It returns the responses.
func sendAgain(t *testing.T, a *acceptor, address, path, field string, states []string) []string {
	t.Helper()
	var responses []string
	for _, state := range states {
		setKeyState(a, state)
		responses = append(responses, post(t, address, path, "Sardinereach-Api-Key: "+testKey, field))
	}
	return responses
}

// Guards against a request that runs again, or is refused for good, because its API key is not decided for a time.
func TestUndecidedKeyMakesNoOtherOperation(t *testing.T) {
	const undecided, replayed = "503 accounts_unknown", "200 1"
	for _, path := range []string{"/s", "/open"} {
		for _, header := range []string{"Idempotency-Key: k", "Sardinereach-Ticket: "} {
			for _, c := range []struct{ states, want []string }{
				{[]string{"undecided", "a1", "a1"}, []string{undecided, "200", replayed}},
				{[]string{"a1", "undecided", "a1"}, []string{"200", undecided, replayed}},
			} {
				a, address, runs := startKeyedClaims(t)
				if strings.HasSuffix(header, ": ") {
					header += a.once.tickets.Issue(a.clock.now())
				}
				got := sendAgain(t, a, address, path, header, c.states)
				if !slices.Equal(got, c.want) || runs() != 1 {
					t.Errorf("%s with %.19s, key %v: %q and %d runs, want %q and one", path, header, c.states, got, runs(), c.want)
				}
			}
		}
	}
}

// Guards against a request that runs again because its API key was withdrawn or added, and against another account that gets the
// recorded answer with a key that has moved to it.
func TestChangedKeyBetweenTwoSends(t *testing.T) {
	const unknown, replayed = "401 api_key_unknown", "200 1"
	for _, path := range []string{"/s", "/open"} {
		for _, c := range []struct {
			states, want []string
			runs         int
		}{
			{[]string{"a1", "unknown", "a1"}, []string{"200", unknown, replayed}, 1},
			{[]string{"unknown", "a1", "unknown"}, []string{unknown, "200", unknown}, 1},
			{[]string{"a1", "a2", "a1"}, []string{"200", "200", replayed}, 2},
		} {
			a, address, runs := startKeyedClaims(t)
			if got := sendAgain(t, a, address, path, "Idempotency-Key: k", c.states); !slices.Equal(got, c.want) || runs() != c.runs {
				t.Errorf("%s, key %v: %q and %d runs, want %q and %d", path, c.states, got, runs(), c.want, c.runs)
			}
		}
	}
}

// Guards against an operation that runs for one account under the claim of another one, so that it runs again when it is sent again.
func TestKeyMovedBetweenClaimAndRun(t *testing.T) {
	a, address, runs := startKeyedClaims(t)
	setKeyState(a, "a1")
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /open HTTP/1.1\r\nHost: h\r\nSardinereach-Api-Key: %s\r\nIdempotency-Key: k\r\nExpect: 100-continue\r\n"+
		"Content-Length: 1\r\n\r\n", testKey)
	reader := bufio.NewReader(c)
	if line, err := reader.ReadString('\n'); err != nil || !strings.Contains(line, " 100 ") {
		t.Fatalf("%s %v, want the request for the body", line, err)
	}
	if _, err := reader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	setKeyState(a, "a2")
	fmt.Fprint(c, "b")
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(headerReason) != string(verdict.AccountsUnknown) || runs() != 0 {
		t.Errorf("%d %s after %d runs, want 503 and none", res.StatusCode, res.Header.Get(headerReason), runs())
	}
	again := post(t, address, "/open", "Sardinereach-Api-Key: "+testKey, "Idempotency-Key: k")
	if again != "200" || runs() != 1 {
		t.Errorf("sent again: %s after %d runs, want 200 and one", again, runs())
	}
}

// Guards against a ticket that runs, or gives its recorded answer, for another account.
func TestChangedKeyBetweenTwoUsesOfATicket(t *testing.T) {
	for _, path := range []string{"/s", "/open"} {
		a, address, runs := startKeyedClaims(t)
		ticket := "Sardinereach-Ticket: " + a.once.tickets.Issue(a.clock.now())
		got := sendAgain(t, a, address, path, ticket, []string{"unknown", "a1", "a2", "unknown", "a1"})
		want := []string{"401 api_key_unknown", "200", "422 key_reused", "401 api_key_unknown", "200 1"}
		if !slices.Equal(got, want) || runs() != 1 {
			t.Errorf("%s: %q and %d runs, want %q and one", path, got, runs(), want)
		}
	}
}

// Guards against a request that runs again because its caller has changed to the next key of its account.
func TestKeysOfOneAccountShareTheirOperations(t *testing.T) {
	for path, withoutKey := range map[string]string{"/s": "401 api_key_required", "/open": "200"} {
		a, address, _ := startKeyedClaims(t)
		setAccounts(a, map[string]string{"k1": "a1", "k2": "a1"})
		var got []string
		for _, field := range []string{"Sardinereach-Api-Key: k1", "Sardinereach-Api-Key: k2", "Accept: */*"} {
			got = append(got, post(t, address, path, field, "Idempotency-Key: k"))
		}
		if want := []string{"200", "200 1", withoutKey}; !slices.Equal(got, want) {
			t.Errorf("%s: %q, want %q", path, got, want)
		}
	}
}
