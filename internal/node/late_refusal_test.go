package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against a request that gets no answer because its node is later than the write deadline, as on a VM that lacks processor time.
func TestLateNodeStillAnswers(t *testing.T) {
	a, _ := startAcceptor(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(-time.Second))
		a.refuse(w, nil, verdict.Uncertain(verdict.UpstreamTimeout, nil))
	}))
	defer server.Close()
	response, err := roundTrip(t, strings.TrimPrefix(server.URL, "http://"), "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d", response.StatusCode)
	}
}
