package peer

import (
	"context"
	"net"
	"testing"
	"time"
)

// Guards against a retained response that is freed because the connection ended, as if the accepting node had acknowledged it.
func TestCutStreamAcknowledgesNothing(t *testing.T) {
	for _, reset := range []bool{false, true} {
		handler := &echoHandler{run: echo, acknowledged: make(chan string, 1000)}
		server := NewServer(handler, 1<<20, Options{})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = server.Serve(ctx, listener)
		}()
		complete := 0
		for limit := 0; complete < 1; limit += cutStep {
			proxy := &cutProxy{target: listener.Addr().String(), toPeer: -1, toClient: limit, reset: reset}
			client := NewClient("c", Options{})
			_, _, err := forward(t, client, startCutProxy(t, proxy), "a", false, []byte("body"))
			client.Close()
			for end := time.Now().Add(20 * time.Second); server.Calls() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the call has not ended")
				}
			}
			if err == nil {
				complete++
			} else if n := len(handler.acknowledged); n > 0 {
				t.Errorf("reset %v, cut after %d bytes: %d acknowledgements; the client has none of: %v", reset, limit, n, err)
				<-handler.acknowledged
			}
		}
		cancel()
		<-ended
	}
}
