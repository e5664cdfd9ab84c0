package store

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a call that outlasts its timeout because the store answers with status 101 and then with nothing.
func TestProtocolSwitchEndsWithTheCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n")
				_, _ = io.Copy(io.Discard, reader)
			}()
		}
	}()
	client := Dial(listener.Addr().String(), func(string) {})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		_, err := client.Get(ctx, "k")
		ended <- err
	}()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the call succeeded")
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the call has not ended")
	}
}
