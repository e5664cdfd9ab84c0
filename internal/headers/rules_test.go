package headers

import (
	"net/http"
	"slices"
	"testing"

	"github.com/sardinereach/sardinereach/internal/dialect"
)

func testRules() *Rules {
	return NewRules(
		dialect.Caller{
			TimeoutHeader: "Time-Left", RequestIDHeader: "Request-Id", CallerServiceHeader: "Calling-Service", KeyHeader: "Api-Key",
			SardinereachHeaders: true,
		},
		dialect.Upstream{
			TimeoutHeader: "Time-Left", AttemptHeader: "Attempt", InstanceHeader: "Instance", NotRunHeader: "Not-Run",
			EchoHeader: "Request-Id", SignatureHeader: "Signature", AccountHeader: "Account", LoadHeader: "Load",
		},
	)
}

// Guards against a header whose value another party than its owner sets on some leg.
func TestEachHeaderHasOneOwner(t *testing.T) {
	for name, want := range map[string]struct {
		owner                            Owner
		fromCaller, toUpstream, toCaller Action
	}{
		"Api-Key":              {Caller, Remove, Remove, Remove},
		"Account":              {Fleet, Remove, Remove, Remove},
		"Calling-Service":      {Fleet, Remove, Keep, Forward},
		"X-Forwarded-For":      {Fleet, Remove, Keep, Forward},
		"Time-Left":            {Fleet, Remove, Remove, Forward},
		"Instance":             {Fleet, Remove, Remove, Forward},
		"Attempt":              {Fleet, Remove, Remove, Forward},
		"Sardinereach-Other":   {Fleet, Remove, Remove, Remove},
		"Request-Id":           {Caller, Remove, Keep, Keep},
		"Not-Run":              {Upstream, Remove, Remove, Remove},
		"Load":                 {Upstream, Remove, Remove, Remove},
		"Signature":            {Upstream, Forward, Forward, Keep},
		"Connection":           {Hop, Remove, Remove, Remove},
		"Transfer-Encoding":    {Hop, Remove, Remove, Remove},
		"Proxy-Authorization":  {Hop, Remove, Remove, Remove},
		"Content-Length":       {Hop, Remove, Remove, Forward},
		"Content-Type":         {Caller, Forward, Forward, Forward},
		"Authorization":        {Caller, Forward, Forward, Forward},
		"Idempotency-Key":      {Caller, Forward, Forward, Forward},
		"Accounting":           {Caller, Forward, Forward, Forward},
		"sardinereach_account": {Fleet, Remove, Remove, Remove},
		"API_KEY":              {Caller, Remove, Remove, Remove},
		"transfer_encoding":    {Hop, Remove, Remove, Remove},
	} {
		got := testRules().Of(name)
		if got.Owner != want.owner || got.On(FromCaller) != want.fromCaller || got.On(ToUpstream) != want.toUpstream || got.On(ToCaller) != want.toCaller {
			t.Errorf("%s: %+v, want %+v", name, got, want)
		}
	}
}

// Guards against an upstream's value of one of the fleet's own headers that a caller takes for the fleet's.
func TestUpstreamsSetNoHeaderOfTheFleet(t *testing.T) {
	rules := NewRules(dialect.OwnCaller(), dialect.OwnUpstream())
	for _, name := range []string{
		"Sardinereach-Verdict", "Sardinereach-Attempt", "Sardinereach-Timeout-Ms", "Sardinereach-Not-Run", "Sardinereach-Account",
		"Sardinereach-Api-Key", "sardinereach_verdict",
	} {
		if rules.Forwards(ToCaller, name) {
			t.Errorf("%s is forwarded to callers", name)
		}
	}
}

// Guards against a Connection header that removes what other parties rely on, and against one whose names are not found.
func TestConnectionHeaderNamesOnlyCallersHeaders(t *testing.T) {
	response := http.Header{
		"Connection": {"close, signature", "Request-Id,X_Private"}, "Signature": {"s"}, "Request-Id": {"1"}, "Request_id": {"2"},
		"X-Private": {"p"}, "Etag": {"e"},
	}
	var names []string
	for _, h := range testRules().Forwarded(ToCaller, response) {
		names = append(names, h.Name)
	}
	slices.Sort(names)
	if want := []string{"Etag", "Request-Id", "Signature"}; !slices.Equal(names, want) {
		t.Errorf("forwarded %v, want %v", names, want)
	}
}

// Guards against a spelling of a header that is forwarded although its value was not read or deleted.
func TestAllSpellingsOfAHeaderAreRead(t *testing.T) {
	header := http.Header{"Api-Key": {"a"}, "Api_key": {"b"}, "Api": {"c"}}
	values := Values(header, "api-key")
	slices.Sort(values)
	if want := []string{"a", "b"}; !slices.Equal(values, want) {
		t.Errorf("values %v, want %v", values, want)
	}
	Delete(header, "Api-Key")
	if len(header) != 1 || len(Values(header, "")) != 0 {
		t.Errorf("left: %v", header)
	}
}
