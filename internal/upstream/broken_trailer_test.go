package upstream

import (
	"fmt"
	"testing"
)

// brokenTrailers are lines behind the last chunk of a body.
var brokenTrailers = map[string]string{
	"blank in a name":                "A B: c\r\n",
	"blank behind a name":            "A : c\r\n",
	"blank behind Content-Length":    "Content-Length : 2\r\n",
	"blank behind Transfer-Encoding": "Transfer-Encoding : chunked\r\n",
	"control byte in a name":         "A\x01: c\r\n",
	"control byte in a value":        "A: b\x01\r\n",
	"byte above ASCII in a name":     "\xc3\xa4: c\r\n",
	"empty name":                     ": c\r\n",
	"line without a colon":           "A\r\n",
	"second line":                    "A: b\r\nA B: c\r\n",
	"length":                         "Content-Length: 2\r\n",
	"transfer encoding":              "transfer-encoding: chunked\r\n",
	"blank and a refusal":            "Not-Run: 1\r\nA B: c\r\n",
}

// Guards against taking an answer with a broken trailer for complete, or for a refusal, and against using its connection again.
func TestBrokenTrailerEndsNoAnswer(t *testing.T) {
	for name, trailer := range brokenTrailers {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, idempotent %v", name, idempotent), func(t *testing.T) {
				t.Parallel()
				address, connections := brokenServer(t, chunkedHead+"2\r\nok\r\n0\r\n"+trailer+"\r\n", idempotent)
				client := NewClient(1<<20, untilClose())
				defer client.Close()
				if idempotent {
					if r := run(t, client, address, true); r.Outcome != Answered {
						t.Fatalf("first request: %s %v", r.Outcome, r.Err)
					}
				}
				r := run(t, client, address, idempotent)
				if r.Outcome != Incomplete || r.Err == nil || !r.Received || r.Status != 200 || r.Reused != idempotent {
					t.Errorf("outcome %s: %v, received %v, reused %v; want %s", r.Outcome, r.Err, r.Received, r.Reused, Incomplete)
				}
				before := connections.Load()
				if next := run(t, client, address, true); next.Reused || connections.Load() != before+1 {
					t.Error("the connection of the broken trailer was used again")
				}
			})
		}
	}
}

// Guards against believing a refusal that stands behind the body of an answer.
func TestRefusalInATrailerIsNoRefusal(t *testing.T) {
	address, _ := brokenServer(t, chunkedHead+"2\r\nok\r\n0\r\nNot-Run: 1\r\n\r\n", false)
	client := NewClient(1<<20, untilClose())
	defer client.Close()
	if r := run(t, client, address, false); r.Outcome != Answered {
		t.Errorf("outcome %s: %v; want %s", r.Outcome, r.Err, Answered)
	}
}
