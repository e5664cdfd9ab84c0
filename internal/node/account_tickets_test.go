package node

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// startKeyedTickets serves an acceptor in the project's own dialect whose target answers each request on the route /s, which
// requires a key, and issues tickets.
func startKeyedTickets(t *testing.T, target string) (*acceptor, string) {
	t.Helper()
	a, address := startAcceptor(t)
	addTarget(t, a, &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s", RequiresKey: true}}}, target)
	a.once.tickets = testTickets()
	setAccounts(a, map[string]string{"k1": "a1", "k2": "a2"})
	return a, address
}

// Guards against a ticket that gives the answer of one account to another one.
func TestTicketBelongsToTheAccountThatUsedItFirst(t *testing.T) {
	target, received := startRecorder(t)
	a, address := startKeyedTickets(t, target)
	ticket := a.once.tickets.Issue(a.clock.now())
	post := func(key string) string {
		res, err := roundTrip(t, address, fmt.Sprintf("POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nSardinereach-Api-Key: %s\r\n"+
			"Sardinereach-Ticket: %s\r\n\r\nb", key, ticket))
		if err != nil {
			t.Fatal(err)
		}
		return strings.TrimSpace(fmt.Sprintf("%d %s%s", res.StatusCode, res.Header.Get(headerReason), res.Header.Get(headerReplayed)))
	}
	for _, c := range []struct{ key, want string }{{"k1", "200"}, {"k2", "422 key_reused"}, {"k1", "200 1"}, {"k3", "401 api_key_unknown"}} {
		if got := post(c.key); got != c.want {
			t.Errorf("key %s: %s, want %s", c.key, got, c.want)
		}
	}
	if len(received) != 1 {
		t.Errorf("%d runs, want one", len(received))
	}
}

// Guards against a ticket that loses the account, or the decision on access, on the way to the node that has issued it.
func TestRedeemedRequestKeepsItsAccount(t *testing.T) {
	a, _ := startKeyedTickets(t, "127.0.0.1:1")
	redeem := func(access peerv1.Access, account string) (*request, *verdict.Error) {
		template := &request{head: &peerv1.ForwardHead{Method: "POST", Uri: "/s", Access: access, Account: account, Rank: 3}}
		return requestFromHead(a.view.Load(), template.redeemHead("n2", "t"), []byte("b"), 1)
	}
	rq, err := redeem(peerv1.Access_ACCESS_KEY, "a1")
	if err != nil || rq.head.Account != "a1" || rq.head.Access != peerv1.Access_ACCESS_KEY || rq.head.Rank != 3 {
		t.Errorf("%+v, %v", rq, err)
	}
	other, err := redeem(peerv1.Access_ACCESS_KEY, "a2")
	if err != nil || other.operation == rq.operation {
		t.Errorf("the requests of two accounts are one operation: %v", err)
	}
	if refusal := a.renewAccess(rq, rq.head); refusal != nil || rq.head.Account != "a1" {
		t.Errorf("before an attempt: %v", refusal)
	}
	if _, err := redeem(peerv1.Access_ACCESS_UNCHECKED, ""); err == nil || err.Reason != verdict.AccessUnchecked || err.Verdict != verdict.NotRun {
		t.Errorf("without a decision: %v", err)
	}
}
