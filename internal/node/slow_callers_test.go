package node

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/settings"
	"github.com/sardinereach/sardinereach/internal/upstream"
)

// closedByPeer waits until the peer has closed the connection.
func closedByPeer(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	if _, err := io.Copy(io.Discard, c); err != nil {
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			t.Fatal("the connection is still open")
		}
	}
}

// Guards against an upstream that begins an announcement and never ends it, and so occupies a connection of the node for
// good.
func TestUnfinishedAnnouncementEnds(t *testing.T) {
	n := &Node{settings: &settings.Settings{Limits: settings.Limits{ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 1 << 16}}}
	n.ports.Announcements = func(announced func(upstream.Announcement) error, _ func(model.TargetID, int64) error) http.Handler {
		return upstream.AnnounceHandler(announced)
	}
	server := n.upstreamServer()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	for _, start := range []string{
		"", "POST /v1/announce HTTP/1.1\r\nHost: h\r\n", "POST /v1/announce HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n{",
		"POST /v1/announce HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n",
		"POST /other HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n{",
	} {
		t.Run(start, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := io.WriteString(c, start); err != nil {
				t.Fatal(err)
			}
			closedByPeer(t, c)
		})
	}
}

// Guards against a caller whose body has no end and that occupies a request of the node until its timeout, or longer.
func TestEndlessBodyIsRefused(t *testing.T) {
	for _, piece := range []string{"1\r\nx\r\n", "400\r\n" + string(make([]byte, 1024)) + "\r\n", "1;x", "0"} {
		a, address := startAcceptor(t)
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			_, err := io.WriteString(c, "POST /s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			for err == nil {
				_, err = io.WriteString(c, piece)
			}
		}()
		closedByPeer(t, c)
		c.Close()
		for a.inFlight.Load() != 0 {
			time.Sleep(time.Millisecond)
		}
	}
}
