package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sardinereach/sardinereach/internal/upstream"
)

// Guards against a target that is registered by an announcement of which only a part has arrived, or whose framing is not valid.
func TestCutAnnouncementsNameNoTarget(t *testing.T) {
	const body = `{"service":"s","target":"t1","address":"127.0.0.1:8080","slots":4,"phase":"ready"}`
	const start, start10 = "POST /v1/announce HTTP/1.1\r\nHost: h\r\n", "POST /v1/announce HTTP/1.0\r\nHost: h\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	for name, c := range map[string]struct {
		call     string
		accepted int64
	}{
		"whole":               {start + length + "\r\n" + body, 1},
		"cut in the body":     {start + length + "\r\n" + body[:len(body)-1], 0},
		"cut in a chunk":      {start + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body)[:len(body)], 0},
		"no length":           {start + "\r\n" + body, 0},
		"no length, HTTP/1.0": {start10 + "\r\n" + body, 0},
		"chunks, HTTP/1.0":    {start10 + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n", 0},
		"two lengths":         {start + length + "Content-Length: 2\r\n\r\n" + body, 0},
		"blank after length":  {start + strings.Replace(length, ":", " :", 1) + "\r\n" + body, 0},
		"blank in a name":     {start + length + "A B: c\r\n\r\n" + body, 0},
	} {
		for _, end := range []connectionEnd{isClosed, isReset} {
			var accepted atomic.Int64
			server := httptest.NewServer(upstream.AnnounceHandler(func(upstream.Announcement) error {
				accepted.Add(1)
				return nil
			}))
			status := sendAndEnd(t, strings.TrimPrefix(server.URL, "http://"), c.call, end)
			// Close waits for the handlers.
			server.Close()
			// A reset can overtake a whole announcement.
			missing := end == isClosed && accepted.Load() < c.accepted
			if got := accepted.Load(); got > c.accepted || missing || c.accepted == 0 && status == http.StatusOK {
				t.Errorf("%s, %s: status %d, %d announcements; want %d", name, end, status, got, c.accepted)
			}
		}
	}
}
