package endlesstest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Serve listens on a loopback address until the end of the test. It answers each HTTP request with start, followed by piece until
// the connection is closed.
func Serve(t testing.TB, start, piece string) (address string) {
	t.Helper()
	return Listen(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if _, err := io.WriteString(c, start); err == nil {
			Write(c, piece)
		}
	})
}

// Listen listens on a loopback address until the end of the test, and calls handle for each connection, which it closes
// afterwards.
func Listen(t testing.TB, handle func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c)
			}()
		}
	}()
	return listener.Addr().String()
}

// Write writes the piece until the connection is closed. It allocates memory once: io.WriteString would copy each piece, and the
// copies would count as growth of the heap.
func Write(c net.Conn, piece string) {
	data := []byte(piece)
	for err := error(nil); err == nil; {
		_, err = c.Write(data)
	}
}
