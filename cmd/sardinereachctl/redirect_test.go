package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/endlesstest"
)

// Guards against the answer of another address, or a change that is sent to it, in place of the node given by -server.
func TestRedirectIsNotFollowed(t *testing.T) {
	data, err := proto.Marshal(&operatorv1.ExecuteResponse{Message: "done"})
	if err != nil {
		t.Fatal(err)
	}
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		_, _ = w.Write(data)
	}))
	defer other.Close()
	for _, status := range []string{"301 X", "302 X", "303 X", "307 X", "308 X"} {
		server := endlesstest.Answer(t, "HTTP/1.1 "+status+"\r\nLocation: "+other.URL+"/x\r\nContent-Length: 0\r\n\r\n")
		var out, failure bytes.Buffer
		code := run([]string{"exec", "show services", "-server", server}, stdio{out: &out, err: &failure})
		if code != exitUnreachable || out.Len() != 0 {
			t.Errorf("%s: exit code %d, want %d; printed %q, %q", status, code, exitUnreachable, out.String(), failure.String())
		}
	}
}
