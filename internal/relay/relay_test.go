package relay

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const (
	// testTimeout bounds waits that would otherwise never end.
	testTimeout = 20 * time.Second
	// noResponseWait is how long a test waits for a response that must not arrive. A longer time can only find more
	// faults.
	noResponseWait = 50 * time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoServer starts a server that sends back all bytes it receives, and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			wait.Go(func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		wait.Wait()
	})
	return listener.Addr().String()
}

func start(t *testing.T, link *Link) *Relay {
	t.Helper()
	r, err := Start("127.0.0.1:0", echoServer(t), link)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// roundTrip sends a message and requires the echo server's response.
func roundTrip(t *testing.T, conn net.Conn, message string) {
	t.Helper()
	if _, err := conn.Write([]byte(message)); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	got := make([]byte, len(message))
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != message {
		t.Fatalf("response %q, %v; want %q", got, err, message)
	}
}

// expectNoResponse sends a message and requires that no response arrives and the connection stays open.
func expectNoResponse(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := conn.Write([]byte("lost")); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(noResponseWait))
	n, err := conn.Read(make([]byte, 1))
	if n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %d bytes, %v; want no response", n, err)
	}
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("waited %v for: %s", testTimeout, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a relay that changes, loses or miscounts bytes, at a limited rate and with a delay.
func TestBytesArriveUnchangedAndCounted(t *testing.T) {
	r := start(t, NewLink(400e6))
	r.SetDelay(time.Millisecond)
	const size = 1 << 20
	sent := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(sent)
	conn := dial(t, r)
	go func() {
		_, _ = conn.Write(sent)
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(conn)
	if err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("%d bytes, %v; want %d unchanged", len(got), err, size)
	}
	if r.Bytes(Forward) != size || r.Bytes(Backward) != size {
		t.Errorf("counted %d forward, %d backward; want %d", r.Bytes(Forward), r.Bytes(Backward), size)
	}
}

// Guards against a blackholed connection that still delivers bytes or is closed, and against dropped bytes on new
// connections.
func TestBlackholeOnlyAffectsOpenConnections(t *testing.T) {
	r := start(t, nil)
	old := dial(t, r)
	roundTrip(t, old, "before")
	if n := r.Blackhole(); n != 1 {
		t.Fatalf("blackholed %d connections; want 1", n)
	}
	expectNoResponse(t, old)
	roundTrip(t, dial(t, r), "after")
	expectNoResponse(t, old)
}

// Guards against a Cut that also stops the other direction, and against a connection that continues with a gap.
func TestCutDropsOneDirection(t *testing.T) {
	r := start(t, nil)
	conn := dial(t, r)
	roundTrip(t, conn, "before")
	r.Cut(Backward)
	expectNoResponse(t, conn)
	await(t, "the uncut direction to carry both messages", func() bool {
		return r.Bytes(Forward) == int64(len("before")+len("lost"))
	})
	await(t, "the cut direction to drop bytes", func() bool { return r.openConns()[0].droppedBytes[Backward].Load() })
	r.Heal(Backward)
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("connection with a gap: %v; want its end", err)
	}
	roundTrip(t, dial(t, r), "after")
}

// Guards against a Refuse that closes open connections, and against an Accept that listens at another address.
func TestRefuseAffectsOnlyNewConnections(t *testing.T) {
	r := start(t, nil)
	open := dial(t, r)
	roundTrip(t, open, "before")
	address := r.Address()
	r.Refuse()
	if conn, err := net.Dial("tcp", address); err == nil {
		conn.Close()
		t.Error("a new connection was accepted")
	}
	roundTrip(t, open, "during")
	if err := r.Accept(); err != nil {
		t.Fatal(err)
	}
	if r.Address() != address {
		t.Errorf("address %s; want %s", r.Address(), address)
	}
	roundTrip(t, dial(t, r), "after")
}
