package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/dialect"
)

// headSink keeps the head of a response.
type headSink struct {
	discardSink
	head *peerv1.AnswerHead
}

func (s *headSink) Head(head *peerv1.AnswerHead) error {
	s.head = head
	return nil
}

// Guards against an accepting node of an older build that forwards a caller's key or account to the upstream.
func TestHeadersOfTheFleetAreRemovedBeforeTheUpstream(t *testing.T) {
	received := make(chan http.Header, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { received <- r.Header }))
	defer server.Close()
	client := NewClient(1<<20, dialect.Upstream{AccountHeader: "Account", InstanceHeader: "Instance", NotRunHeader: "Not-Run", LoadHeader: "Load"})
	defer client.Close()
	client.SetCallers(dialect.Caller{KeyHeader: "Api-Key", CallerServiceHeader: "Calling-Service", RequestIDHeader: "Request-Id"})
	var sent []*peerv1.Header
	for _, name := range []string{
		"Api-Key", "api_key", "Account", "ACCOUNT", "Calling-Service", "Calling_Service", "Instance", "Sardinereach-Other",
		"Transfer-Encoding", "Connection", "Not-Run", "Load", "Request-Id", "Request_Id", "X-Own",
	} {
		sent = append(sent, &peerv1.Header{Name: name, Value: "sent"})
	}
	for account, want := range map[string][]string{"": nil, "a1": {"a1"}} {
		head := &peerv1.ForwardHead{Method: "GET", Uri: "/", Idempotent: true, Target: "t1", Headers: sent, Account: account}
		client.Run(context.Background(), strings.TrimPrefix(server.URL, "http://"), head, nil, new(headSink))
		header := <-received
		if !slices.Equal(header["Account"], want) || !slices.Equal(header["Instance"], []string{"t1"}) {
			t.Errorf("account %q: the upstream gets %v", account, header)
		}
		delete(header, "Account")
		delete(header, "Instance")
		delete(header, "Accept-Encoding")
		names := make([]string, 0, len(header))
		for name := range header {
			names = append(names, name)
		}
		slices.Sort(names)
		if want := []string{"Calling-Service", "Request-Id", "X-Own"}; !slices.Equal(names, want) {
			t.Errorf("account %q: the upstream gets %v, want %v", account, names, want)
		}
	}
}

// Guards against a response that passes what the upstream tells the fleet to the caller, or takes what the caller needs.
func TestDeclarationsOfUpstreamsDoNotReachCallers(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for _, name := range []string{"Load", "Not-Run", "Not_run", "Account", "Signature", "Sardinereach-Verdict", "X-Own", "X-Hop"} {
			w.Header()[name] = []string{"sent"}
		}
		w.Header().Set("Connection", "X-Hop, Signature")
	}))
	defer server.Close()
	client := NewClient(1<<20, dialect.Upstream{AccountHeader: "Account", NotRunHeader: "Not-Run", LoadHeader: "Load", SignatureHeader: "Signature"})
	defer client.Close()
	sink := new(headSink)
	client.Run(context.Background(), strings.TrimPrefix(server.URL, "http://"), &peerv1.ForwardHead{Method: "GET", Uri: "/", Idempotent: true}, nil, sink)
	var names []string
	for _, h := range sink.head.GetHeaders() {
		if h.Name != "Date" && h.Name != "Content-Length" {
			names = append(names, h.Name)
		}
	}
	slices.Sort(names)
	if want := []string{"Signature", "X-Own"}; !slices.Equal(names, want) {
		t.Errorf("the caller gets %v, want %v", names, want)
	}
}
