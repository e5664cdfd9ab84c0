package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against a tunnel that an upstream opens for a caller, in whose bytes it runs requests that the node has not seen.
func TestConnectIsNotForwarded(t *testing.T) {
	address, lines := startLineRecorder(t)
	_, node := startKeyed(t, address)
	c, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	hidden := "GET /s HTTP/1.1\r\nHost: h\r\n\r\n"
	_, _ = io.WriteString(c, "CONNECT /open HTTP/1.1\r\nHost: h\r\nContent-Length: 28\r\n\r\n"+hidden)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if len(lines) > 0 || res.StatusCode/100 == 2 {
		t.Errorf("status %d, %d runs", res.StatusCode, len(lines))
	}
}
