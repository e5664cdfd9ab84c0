package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/account"
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/dialect"
	"github.com/sardinereach/sardinereach/internal/headers"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/upstream"
)

// keyedCaller and keyedUpstream are a dialect in which callers send API keys and IDs of their requests.
func keyedCaller() dialect.Caller {
	return dialect.Caller{
		TimeoutHeader: "Time-Left", RequestIDHeader: "Request-Id", CallSeparator: ".", CallerServiceHeader: "Calling-Service",
		KeyHeader: "Api-Key", UniqueRequestIDs: true,
	}
}

func keyedUpstream() dialect.Upstream {
	return dialect.Upstream{
		TimeoutHeader: "Time-Left", NotRunHeader: "Not-Run", EchoHeader: "Request-Id", AccountHeader: "Account", LoadHeader: "Load",
	}
}

// testKey is the API key of the account a1 in tests.
const testKey = "k-4f1c9a70-secret"

// startKeyed serves an acceptor in the keyed dialect. It has the target address of the service s, whose route /s requires a key
// and whose route /open does not.
func startKeyed(t testing.TB, target string) (*acceptor, string) {
	t.Helper()
	a, address := startAcceptor(t)
	// The node has run for an hour, so that it knows all runs of its targets.
	a.clock = clock{start: time.Now().Add(-time.Hour)}
	a.dialect, a.callerService = keyedCaller(), "own"
	a.headers = headers.NewRules(keyedCaller(), keyedUpstream())
	service := &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s", RequiresKey: true}, {Path: "/open"}}}
	addTarget(t, a, service, target)
	// All slots are in use at once.
	_, err := a.admitter.announce(admission.Announcement{
		Service: "s", Target: "t1", Address: target, Slots: 4, Phase: model.PhaseReady, HasColdRemaining: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	a.admitter.upstreams = upstream.NewClient(1<<20, keyedUpstream())
	a.admitter.upstreams.SetCallers(keyedCaller())
	t.Cleanup(a.admitter.upstreams.Close)
	setAccounts(a, map[string]string{testKey: "a1"})
	return a, address
}

// setAccounts replaces the accounts of the view by those of the keys.
func setAccounts(a *acceptor, accountOf map[string]string) {
	accounts := make(map[model.AccountName]*declaration.Account)
	for key, text := range accountOf {
		name := model.AccountName(text)
		if accounts[name] == nil {
			accounts[name] = &declaration.Account{Name: name}
		}
		accounts[name].KeyHashes = append(accounts[name].KeyHashes, declaration.HashKey(key))
	}
	view := *a.view.Load()
	view.Revision++
	view.Accounts = account.NewTable(accounts)
	a.view.Store(&view)
}

// startRecorder serves an upstream that sends the header of each request to the channel.
func startRecorder(t testing.TB) (string, chan http.Header) {
	t.Helper()
	received := make(chan http.Header, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Load", "1,0,4")
		w.WriteHeader(http.StatusOK)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), received
}
