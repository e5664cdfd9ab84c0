package upstream

import (
	"fmt"
	"net"
	"testing"

	"github.com/sardinereach/sardinereach/internal/dialect"
)

// Guards against forwarding a status that callers take for "not run" from an upstream that does not declare that it did not
// run the request.
func TestUndeclaredRefusalIsNoRefusal(t *testing.T) {
	names := dialect.Upstream{NotRunHeader: "Not-Run", RefusalStatuses: []int{408, 421, 429, 503}}
	for _, status := range names.RefusalStatuses {
		for name, c := range map[string]struct {
			header string
			want   Outcome
		}{
			"undeclared":  {"", Incomplete},
			"other value": {"Not-Run: 0\r\n", Incomplete},
			"declared":    {"Not-Run: 1\r\n", Shed},
		} {
			address, _ := rawServer(t, func(_ int32, conn net.Conn) bool {
				fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%sContent-Length: 2\r\n\r\nno", status, c.header)
				return false
			})
			for _, idempotent := range []bool{true, false} {
				client := NewClient(1<<20, names)
				if r := run(t, client, address, idempotent); r.Outcome != c.want {
					t.Errorf("%d %s: outcome %s, want %s", status, name, r.Outcome, c.want)
				}
				client.Close()
			}
		}
	}
}
