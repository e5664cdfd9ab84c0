package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/account"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/once"
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

// sendAgain sends one request, with the given header, once in each state of testKey. It returns the responses.
func sendAgain(t *testing.T, a *acceptor, address, path, header string, states []string) []string {
	t.Helper()
	var responses []string
	for _, state := range states {
		setKeyState(a, state)
		res, err := roundTrip(t, address, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nSardinereach-Api-Key: %s\r\n%s\r\n\r\nb",
			path, testKey, header))
		if err != nil {
			t.Fatal(err)
		}
		response := fmt.Sprintf("%d %s%s", res.StatusCode, res.Header.Get(headerReason), res.Header.Get(headerReplayed))
		responses = append(responses, strings.TrimSpace(response))
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
