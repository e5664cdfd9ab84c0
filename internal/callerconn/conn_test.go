package callerconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// testLimit ends a test that hangs.
const testLimit = 20 * time.Second

// testServer runs a handler behind connections of this package.
type testServer struct {
	address string
	// started and ended have the paths of the requests in order; a cancelled one has "cancelled" after it.
	started, ended chan string
	// release lets a request end.
	release chan struct{}

	mu sync.Mutex
	// header is set on each response.
	header http.Header
	// conn is the connection of the last request.
	conn *Conn
}

// readAheadBytes returns the number of bytes read ahead on the connection of the last request.
func (s *testServer) readAheadBytes() int {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return len(conn.ahead)
}

type wrappingListener struct {
	net.Listener
}

func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return New(c, nil), nil
}

// startServer starts a server whose requests run until they are released or cancelled.
func startServer(t *testing.T) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{
		address: listener.Addr().String(), header: http.Header{},
		started: make(chan string, 100), ended: make(chan string, 100), release: make(chan struct{}, 100),
	}
	server := &http.Server{Handler: s, ConnContext: WithConn}
	go func() { _ = server.Serve(wrappingListener{listener}) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	ctx, cancel := context.WithCancelCause(r.Context())
	defer FromContext(r.Context()).Watch(cancel)()
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	s.conn = FromContext(r.Context())
	s.mu.Unlock()
	s.started <- r.URL.Path
	select {
	case <-s.release:
		s.ended <- r.URL.Path
	case <-ctx.Done():
		s.ended <- r.URL.Path + " cancelled"
		return
	}
	s.mu.Lock()
	for name, values := range s.header {
		w.Header()[name] = values
	}
	s.mu.Unlock()
	_, _ = io.WriteString(w, r.URL.Path)
}

func (s *testServer) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testLimit))
	return c.(*net.TCPConn)
}

func next(t *testing.T, events chan string, want string) {
	t.Helper()
	select {
	case got := <-events:
		if got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	case <-time.After(testLimit):
		t.Fatalf("%q did not happen", want)
	}
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func readResponse(t *testing.T, r *bufio.Reader, want string) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil || string(body) != want {
		t.Fatalf("response %q, %v, want %q", body, err, want)
	}
	return res
}

// Guards against a run that nobody waits for, and a pipelined request that starts, because the close of the connection is
// not noticed behind bytes of the second request. The caller closes after each number of its bytes.
func TestCloseBehindPipelinedBytesEndsTheRequest(t *testing.T) {
	s := startServer(t)
	second := getRequest("/second")
	for sent := range len(second) + 1 {
		c := s.dial(t)
		send(t, c, getRequest("/first"))
		next(t, s.started, "/first")
		send(t, c, second[:sent])
		time.Sleep(time.Millisecond)
		if sent%2 == 0 {
			_ = c.SetLinger(0)
		}
		_ = c.Close()
		next(t, s.ended, "/first cancelled")
	}
	select {
	case path := <-s.started:
		t.Errorf("%s was started although its caller is gone", path)
	case <-time.After(100 * time.Millisecond):
	}
}

// Guards against bytes of a pipelined request that are lost, repeated or reordered when they are read ahead. The second
// request arrives in two parts, cut at each of its bytes, before and after the response to the first one.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	s := startServer(t)
	second := "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody" + getRequest("/third")
	for cut := range len(second) + 1 {
		for _, restBeforeResponse := range []bool{true, false} {
			c := s.dial(t)
			r := bufio.NewReader(c)
			send(t, c, getRequest("/first"))
			next(t, s.started, "/first")
			send(t, c, second[:cut])
			if restBeforeResponse {
				send(t, c, second[cut:])
			}
			s.release <- struct{}{}
			readResponse(t, r, "/first")
			if !restBeforeResponse {
				send(t, c, second[cut:])
			}
			s.release <- struct{}{}
			s.release <- struct{}{}
			readResponse(t, r, "/second")
			readResponse(t, r, "/third")
			for _, path := range []string{"/second", "/third"} {
				next(t, s.started, path)
			}
			for _, path := range []string{"/first", "/second", "/third"} {
				next(t, s.ended, path)
			}
			_ = c.Close()
		}
	}
}

// Guards against more memory for what a caller sends ahead than the limit, and against the loss of what is beyond it.
func TestReadAheadIsBounded(t *testing.T) {
	s := startServer(t)
	c := s.dial(t)
	r := bufio.NewReader(c)
	send(t, c, getRequest("/first"))
	next(t, s.started, "/first")
	const count = 1000
	var ahead strings.Builder
	for i := range count {
		ahead.WriteString(getRequest(fmt.Sprintf("/%d", i)))
	}
	if ahead.Len() < 3*MaxReadAheadBytes {
		t.Fatal("the requests do not exceed the limit")
	}
	send(t, c, ahead.String())
	// The server itself holds one byte.
	for end := time.Now().Add(testLimit / 2); s.readAheadBytes() < MaxReadAheadBytes-1 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	if bytes := s.readAheadBytes(); bytes < MaxReadAheadBytes-1 || bytes > MaxReadAheadBytes {
		t.Errorf("%d bytes were read ahead, the limit is %d", bytes, MaxReadAheadBytes)
	}
	go func() {
		for range count + 1 {
			s.release <- struct{}{}
			<-s.ended
		}
	}()
	go func() {
		for range count {
			<-s.started
		}
	}()
	readResponse(t, r, "/first")
	for i := range count {
		readResponse(t, r, fmt.Sprintf("/%d", i))
	}
}

// Guards against a last response that the caller loses, because the server closes the connection while pipelined requests are
// unread on it, which resets it. Those requests do not run.
func TestCloseWithUnreadRequestsKeepsTheResponse(t *testing.T) {
	s := startServer(t)
	s.header.Set("Connection", "close")
	for range 20 {
		c := s.dial(t)
		send(t, c, getRequest("/first"))
		next(t, s.started, "/first")
		send(t, c, strings.Repeat(getRequest("/later"), 1000))
		s.release <- struct{}{}
		next(t, s.ended, "/first")
		// A reset would arrive before the response is read.
		time.Sleep(5 * time.Millisecond)
		r := bufio.NewReader(c)
		if res := readResponse(t, r, "/first"); !res.Close {
			t.Error("the response does not say that the connection closes")
		}
		if rest, err := io.ReadAll(r); err != nil || len(rest) != 0 {
			t.Fatalf("after the response %q, %v, want the end of the connection", rest, err)
		}
		_ = c.Close()
	}
	if len(s.started) != 0 {
		t.Errorf("%s was run", <-s.started)
	}
}

// connect returns both ends of a connection over the loopback interface. The caller's end is closed after the test.
func connect(t *testing.T) (caller, accepted net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	accepted, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return caller, accepted
}

// Guards against a closed connection that waits for its caller without a limit.
func TestClosedConnectionDoesNotWaitForItsCaller(t *testing.T) {
	caller, accepted := connect(t)
	closed := make(chan struct{})
	conn := New(accepted, func() { close(closed) })
	go func() {
		for {
			if _, err := caller.Write(make([]byte, 1000)); err != nil {
				return
			}
		}
	}()
	_ = conn.Close()
	select {
	case <-closed:
	case <-time.After(testLimit):
		t.Fatal("the connection is still open")
	}
}

// Guards against a request that runs, for example at an upstream, and whose connection is closed without its response, because the
// server took the connection for an idle one between two pipelined requests when it stopped keeping connections alive.
func TestPlannedStopAnswersWhatItRuns(t *testing.T) {
	for range 30 {
		playPlannedStop(t)
	}
}

// Guards against a response that is cut because the connection is closed between the end of its handler and the last write.
func TestCloseBeforeTheResponseIsSentKeepsTheConnection(t *testing.T) {
	caller, accepted := connect(t)
	_ = caller.SetDeadline(time.Now().Add(testLimit))
	conn := New(accepted, nil)
	RecordState(conn, http.StateNew)
	conn.Watch(func(error) {})()
	_ = conn.Close()
	const response = "HTTP/1.1 200 OK\r\n\r\n"
	if _, err := io.WriteString(conn, response); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	RecordState(conn, http.StateClosed)
	if got, err := io.ReadAll(caller); err != nil || string(got) != response {
		t.Fatalf("the caller received %q, %v", got, err)
	}
}

// playPlannedStop stops a server gracefully while clients pipeline.
func playPlannedStop(t *testing.T) {
	t.Helper()
	const callers, group = 8, 3
	var ran, answered sync.Map
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer FromContext(r.Context()).Watch(cancel)()
		if ctx.Err() != nil {
			return
		}
		ran.Store(r.URL.Path, true)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ConnContext: WithConn, ConnState: RecordState}
	go func() { _ = server.Serve(wrappingListener{listener}) }()
	defer server.Close()
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Go(func() {
			c, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(testLimit))
			reader := bufio.NewReader(c)
			for i := 0; ; i += group {
				var text strings.Builder
				for j := range group {
					text.WriteString(getRequest(fmt.Sprintf("/%d/%d", caller, i+j)))
				}
				if _, err := io.WriteString(c, text.String()); err != nil {
					return
				}
				for range group {
					res, err := http.ReadResponse(reader, nil)
					if err != nil {
						return
					}
					body, err := io.ReadAll(res.Body)
					if err != nil {
						return
					}
					answered.Store(string(body), true)
					if res.Close {
						return
					}
				}
			}
		})
	}
	time.Sleep(5 * time.Millisecond)
	server.SetKeepAlivesEnabled(false)
	wait.Wait()
	ran.Range(func(path, _ any) bool {
		if _, ok := answered.Load(path); !ok {
			t.Errorf("%s ran and was not answered", path)
		}
		return true
	})
}
