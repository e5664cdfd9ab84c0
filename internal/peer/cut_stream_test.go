package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// cutProxy forwards connections to a peer and ends both sides of one after so many bytes in one direction.
type cutProxy struct {
	net.Listener
	target string
	// toPeer is the limit of bytes from the client to the peer, toClient that of the other direction; negative means none.
	toPeer, toClient int
	reset            bool
	done             sync.WaitGroup
}

func startCutProxy(t *testing.T, p *cutProxy) (address string) {
	t.Helper()
	var err error
	if p.Listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	p.done.Go(func() {
		for {
			c, err := p.Accept()
			if err != nil {
				return
			}
			p.done.Go(func() { p.forward(c.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() {
		_ = p.Close()
		p.done.Wait()
	})
	return p.Addr().String()
}

func (p *cutProxy) forward(client *net.TCPConn) {
	raw, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	peer := raw.(*net.TCPConn)
	var both sync.WaitGroup
	copyTo := func(to, from *net.TCPConn, limit int) {
		if limit < 0 {
			_, _ = io.Copy(to, from)
		} else {
			_, _ = io.CopyN(to, from, int64(limit))
		}
		p.end(client)
		p.end(peer)
		// A close with unread bytes would be a reset.
		_, _ = io.Copy(io.Discard, from)
	}
	both.Go(func() { copyTo(peer, client, p.toPeer) })
	both.Go(func() { copyTo(client, peer, p.toClient) })
	both.Wait()
	_ = client.Close()
	_ = peer.Close()
}

func (p *cutProxy) end(c *net.TCPConn) {
	if p.reset {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	_ = c.CloseWrite()
}

// cutStep is the distance of the bytes at which the tests cut, in bytes. It divides no frame.
const cutStep = 7

// Guards against a response that counts as complete, or differs from what was sent, although the stream between the nodes ended
// before its trailer.
func TestResponseOfCutStreamIsNotComplete(t *testing.T) {
	body := []byte(fmt.Sprintf("%0100d", 7))
	listener, _ := serve(t, &echoHandler{run: echo}, Options{})
	for _, idempotent := range []bool{true, false} {
		for _, reset := range []bool{false, true} {
			complete := 0
			for limit := 0; complete < 3; limit += cutStep {
				proxy := &cutProxy{target: listener.Addr().String(), toPeer: -1, toClient: limit, reset: reset}
				client := NewClient("c", Options{})
				sink, trailer, err := forward(t, client, startCutProxy(t, proxy), "a", idempotent, body)
				client.Close()
				if err == nil {
					complete++
				}
				if err == nil && (sink.body.String() != string(body) || trailer.TotalBytes != int64(len(body))) {
					t.Errorf("idempotent %v, reset %v, cut after %d bytes: %q is complete", idempotent, reset, limit, sink.body.String())
				}
				var failed *ForwardError
				if err != nil && !errors.As(err, &failed) {
					t.Errorf("idempotent %v, reset %v, cut after %d bytes: %v", idempotent, reset, limit, err)
				}
			}
		}
	}
}

// Guards against an attempt that runs with a part of its body because the stream between the nodes ended.
func TestRequestOfCutStreamIsNotRun(t *testing.T) {
	body := []byte(fmt.Sprintf("%0100d", 7))
	for _, onAdmission := range []bool{true, false} {
		for _, reset := range []bool{false, true} {
			var mu sync.Mutex
			var runs []string
			listener, _ := serve(t, &echoHandler{run: func(ctx context.Context, head *peerv1.ForwardHead, got []byte, sink Sink) *peerv1.AnswerTrailer {
				mu.Lock()
				defer mu.Unlock()
				runs = append(runs, string(got))
				return echo(ctx, head, got, sink)
			}}, Options{})
			complete := 0
			for limit := 0; complete < 3; limit += cutStep {
				proxy := &cutProxy{target: listener.Addr().String(), toPeer: limit, toClient: -1, reset: reset}
				client := NewClient("c", Options{})
				head := &peerv1.ForwardHead{Attempt: "a", Idempotent: true, TimeoutMs: 10_000, BodyOnAdmission: onAdmission}
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				if _, err := client.Forward(ctx, startCutProxy(t, proxy), head, body, new(bufferSink)); err == nil {
					complete++
				}
				cancel()
				client.Close()
			}
			mu.Lock()
			for _, run := range runs {
				if run != string(body) {
					t.Errorf("body on admission %v, reset %v: run with %q", onAdmission, reset, run)
				}
			}
			mu.Unlock()
		}
	}
}

// Guards against a message of another node, such as a retained response, that is believed although only a part has arrived.
func TestCutMessageOfPeerIsAFailure(t *testing.T) {
	head := &peerv1.AnswerHead{Status: 200, Headers: []*peerv1.Header{{Name: "A", Value: "b"}, {Name: "C", Value: "d"}}}
	listener, _ := serve(t, &echoHandler{run: echo, answer: head}, Options{})
	for _, reset := range []bool{false, true} {
		complete := 0
		for limit := 0; complete < 3; limit++ {
			proxy := &cutProxy{target: listener.Addr().String(), toPeer: -1, toClient: limit, reset: reset}
			client := NewClient("c", Options{})
			res, err := client.Lookup(t.Context(), startCutProxy(t, proxy), new(peerv1.LookupRequest))
			client.Close()
			if err != nil {
				continue
			}
			complete++
			if res.GetHead().GetStatus() != 200 || len(res.Head.Headers) != 2 || res.State != peerv1.AttemptState_ATTEMPT_STATE_RUNNING {
				t.Errorf("reset %v, cut after %d bytes: %v is complete", reset, limit, res)
			}
		}
	}
}
