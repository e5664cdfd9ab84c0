package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// startLineRecorder serves an upstream that sends the request line of each request to the channel.
func startLineRecorder(t *testing.T) (string, chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	lines := make(chan string, 10)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go answerLine(c, lines)
		}
	}()
	return listener.Addr().String(), lines
}

// answerLine answers one request.
func answerLine(c net.Conn, lines chan<- string) {
	defer c.Close()
	line, id := "", ""
	for reader := bufio.NewReader(c); ; {
		field, err := reader.ReadString('\n')
		field = strings.TrimRight(field, "\r\n")
		if err != nil || field == "" {
			break
		}
		if line == "" {
			line = field
		}
		if value, ok := strings.CutPrefix(field, "Request-Id: "); ok {
			id = value
		}
	}
	lines <- line
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
}

// Guards against a path with two slashes that reaches the upstream as an absolute URI, and is another path there.
func TestPathWithTwoSlashesIsForwardedAsSent(t *testing.T) {
	for path, want := range map[string]string{
		"/a?b": "/a?b", "//h/s": "//h/s", "//h/s?": "//h/s?", "//h/%73?x=//y": "//h/%73?x=//y", "///h/s": "///h/s", "//": "//",
		"//h/a?\"b\"": "//h/a?\"b\"", "//h/\"s\"": "", "//h/caf\u00e9": "", "/h/\"s\"": "/h/\"s\"",
	} {
		address, lines := startLineRecorder(t)
		if want != "" {
			want = "GET " + want + " HTTP/1.1"
		}
		if got := lineAtTarget(t, address, lines, "GET", path); got != want {
			t.Errorf("%s: the upstream gets %q, want %q", path, got, want)
		}
	}
}

// Guards against a request whose path is encoded anew, or made up, because its target is not in origin form.
func TestPathOfOtherRequestTargetsIsForwardedAsSent(t *testing.T) {
	for request, want := range map[string]string{
		"GET http://h/a%2Fb":    "GET /a%2Fb",
		"GET http://h//g/s":     "GET //g/s",
		"GET http://h/\"a\"":    "GET /\"a\"",
		"GET http://h/a^b?c^d":  "GET /a^b?c^d",
		"GET http://h/a#b":      "GET /a#b",
		"GET http://h/a?":       "GET /a?",
		"GET http://u:p@h/a":    "GET /a",
		"GET http://h?b/c":      "GET /?b/c",
		"GET http://h":          "GET /",
		"GET http:/a":           "",
		"GET h:a":               "",
		"OPTIONS http://h":      "",
		"OPTIONS http://h/":     "OPTIONS /",
		"GET http:///a":         "",
		"OPTIONS *":             "",
		"CONNECT h:443":         "",
		"CONNECT h:443/a://b/c": "",
		"CONNECT http://h/a":    "",
	} {
		address, lines := startLineRecorder(t)
		if want != "" {
			want += " HTTP/1.1"
		}
		method, target, _ := strings.Cut(request, " ")
		if got := lineAtTarget(t, address, lines, method, target); got != want {
			t.Errorf("%s: the upstream gets %q, want %q", request, got, want)
		}
	}
}

// lineAtTarget sends a request with a key to a node with the routes / and /s, of which /s requires it. It returns the request line
// that the upstream gets, "" for none.
func lineAtTarget(t *testing.T, address string, lines <-chan string, method, target string) string {
	t.Helper()
	a, node := startKeyed(t, address)
	view := *a.view.Load()
	service := &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/"}, {Path: "/s", RequiresKey: true}}}
	view.Table = core.BuildView(core.Inputs{Config: &config.Snapshot{
		Services: map[model.ServiceName]*declaration.Service{"s": service},
	}}).Table
	a.view.Store(&view)
	res, err := roundTrip(t, node, method+" "+target+" HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nApi-Key: "+testKey+"\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	select {
	case line := <-lines:
		return line
	default:
		return ""
	}
}
