package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

const (
	requestBody = "0123456789"
	// requestTestLimit ends a test that hangs.
	requestTestLimit = 20 * time.Second
)

// cutRequests are requests of which only a part has arrived, or whose framing is not valid, and later requests behind them.
func cutRequests() map[string]string {
	const start, start10 = "POST /s HTTP/1.1\r\nHost: h\r\n", "POST /s HTTP/1.0\r\nHost: h\r\n"
	const length, chunked = "Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n"
	const chunk = "a\r\n" + requestBody + "\r\n"
	return map[string]string{
		"cut in the body":              start + length + "\r\n" + requestBody[:9],
		"cut before the body":          start + length + "\r\n",
		"cut in a chunk":               start + chunked + "\r\n" + chunk[:8],
		"cut after a chunk":            start + chunked + "\r\n" + chunk,
		"cut in the last chunk":        start + chunked + "\r\n" + chunk + "0\r\n",
		"cut in a trailer":             start + chunked + "\r\n" + chunk + "0\r\nA: b",
		"odd trailer":                  start + chunked + "\r\n" + chunk + "0\r\nA\x00B\r\n\r\n",
		"odd chunk size":               start + chunked + "\r\n-a\r\n" + requestBody + "\r\n0\r\n\r\n",
		"no length, HTTP/1.0":          start10 + "\r\n" + requestBody,
		"cut in the body, HTTP/1.0":    start10 + length + "\r\n" + requestBody[:9],
		"chunks, HTTP/1.0":             start10 + chunked + "\r\n" + chunk + "0\r\n\r\n",
		"two lengths":                  start + length + "Content-Length: 5\r\n\r\n" + requestBody,
		"two lengths in one field":     start + "Content-Length: 10, 5\r\n\r\n" + requestBody,
		"length with a sign":           start + "Content-Length: +10\r\n\r\n" + requestBody,
		"negative length":              start + "Content-Length: -1\r\n\r\n" + requestBody,
		"blank after length":           start + "Content-Length : 10\r\n\r\n" + requestBody,
		"blank in length":              start + "Content Length: 10\r\n\r\n" + requestBody,
		"blank after encoding":         start + length + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + "GET /s HTTP/1.1\r\nHost: h\r\n\r\n",
		"blank before encoding":        start + length + "X: y\r\n Transfer-Encoding: chunked\r\n\r\n" + requestBody[:5],
		"blank in a name":              start + length + "A B: c\r\n\r\n" + requestBody,
		"other encoding":               start + length + "Transfer-Encoding: xchunked\r\n\r\n" + requestBody,
		"two encodings":                start + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunk + "0\r\n\r\n",
		"encoding given twice":         start + chunked + chunked + "\r\n" + chunk + "0\r\n\r\n",
		"encoding with a control byte": start + length + "Transfer-Encoding: \vchunked\r\n\r\n" + requestBody,
	}
}

// Guards against a request that runs with a part of its body, or that is taken out of the body of another one.
func TestCutRequestsAreNotRun(t *testing.T) {
	for name, request := range cutRequests() {
		for _, end := range []connectionEnd{staysOpen, isClosed, isReset} {
			t.Run(fmt.Sprintf("%s,%s", name, end), func(t *testing.T) {
				t.Parallel()
				runs := new(recordedRuns)
				a, _ := startAcceptor(t)
				service := &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s", Class: declaration.Idempotent, TimeoutMS: 300}}}
				addTarget(t, a, service, runs.serve(t))
				status := sendAndEnd(t, serveCallers(t, a), request, end)
				for a.inFlight.Load() > 0 {
					time.Sleep(time.Millisecond)
				}
				if bodies := runs.all(); len(bodies) != 0 || status == http.StatusOK {
					t.Errorf("status %d, run with %q; want no run", status, bodies)
				}
			})
		}
	}
}

// connectionEnd is what a caller does after it has sent its bytes.
type connectionEnd string

const (
	staysOpen connectionEnd = "open"
	isClosed  connectionEnd = "closed"
	isReset   connectionEnd = "reset"
)

// recordedRuns are the requests that a target has received.
type recordedRuns struct {
	mu     sync.Mutex
	bodies []string
}

func (r *recordedRuns) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bodies
}

// serve starts the target and returns its address.
func (r *recordedRuns) serve(t *testing.T) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.bodies = append(r.bodies, string(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// sendAndEnd sends the bytes, ends the connection and returns the status of the first answer, 0 for none.
func sendAndEnd(t *testing.T, address, request string, end connectionEnd) int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(requestTestLimit))
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	switch end {
	case isReset:
		// The node shall have read what arrived before the reset.
		time.Sleep(10 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		return 0
	case isClosed:
		_ = c.(*net.TCPConn).CloseWrite()
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// Guards against whole requests that are refused because of the way in which they show their length.
func TestWholeRequestsAreRun(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\na\r\n" + requestBody + "\r\n0\r\n\r\n"
	for name, request := range map[string]string{
		"length":                "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n" + requestBody,
		"equal lengths":         "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nContent-Length: 10\r\n\r\n" + requestBody,
		"chunks":                "POST /s HTTP/1.1\r\nHost: h\r\n" + chunked,
		"chunks with a length":  "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n" + chunked,
		"no body":               "POST /s HTTP/1.1\r\nHost: h\r\n\r\n",
		"length, HTTP/1.0":      "POST /s HTTP/1.0\r\nHost: h\r\nContent-Length: 10\r\n\r\n" + requestBody,
		"length of 0, HTTP/1.0": "POST /s HTTP/1.0\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
		"GET, HTTP/1.0":         "GET /s HTTP/1.0\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			runs := new(recordedRuns)
			a, _ := startAcceptor(t)
			addTarget(t, a, &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s", Class: declaration.Idempotent}}}, runs.serve(t))
			status := sendAndEnd(t, serveCallers(t, a), request, staysOpen)
			want := ""
			if strings.Contains(request, requestBody) {
				want = requestBody
			}
			if bodies := runs.all(); status != http.StatusOK || len(bodies) != 1 || bodies[0] != want {
				t.Errorf("status %d, run with %q; want one run with %q", status, bodies, want)
			}
		})
	}
}

// Guards against running the bytes of the first chunks as the body: HTTP/1.0 has no chunks, and the length is another one.
func TestHTTP10RequestWithLengthAndChunksIsNotRun(t *testing.T) {
	runs := new(recordedRuns)
	a, _ := startAcceptor(t)
	service := &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s", Class: declaration.Idempotent, TimeoutMS: 300}}}
	addTarget(t, a, service, runs.serve(t))
	request := "POST /s HTTP/1.0\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\na\r\n" + requestBody + "\r\n0\r\n\r\n"
	status := sendAndEnd(t, serveCallers(t, a), request, staysOpen)
	if bodies := runs.all(); len(bodies) != 0 || status == http.StatusOK {
		t.Errorf("status %d, run with %q; want no run", status, bodies)
	}
}

// Guards against a request of HTTP/1.0 with chunks that hides its framing behind another request of its connection.
func TestHTTP10RequestBehindAnotherIsNotRun(t *testing.T) {
	const head = "POST /s HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n"
	const chunked = head + "Content-Length: 5\r\ntransfer-encoding: chunked\r\n\r\na\r\n" + requestBody + "\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		before string
		runs   int
	}{
		"HTTP/1.1":             {"GET /s HTTP/1.1\r\nHost: h\r\n\r\n", 1},
		"HTTP/1.0":             {head + "Content-Length: 0\r\n\r\n", 1},
		"node's own path":      {"GET /_sardinereach/health HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", 0},
		"answered by net/http": {"OPTIONS * HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			runs := new(recordedRuns)
			a, _ := startAcceptor(t)
			addTarget(t, a, &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s", Class: declaration.Idempotent}}}, runs.serve(t))
			connection, err := net.Dial("tcp", serveCallers(t, a))
			if err != nil {
				t.Fatal(err)
			}
			defer connection.Close()
			_ = connection.SetDeadline(time.Now().Add(requestTestLimit))
			if _, err := io.WriteString(connection, c.before+chunked); err != nil {
				t.Fatal(err)
			}
			if answers, err := io.ReadAll(connection); err != nil || len(answers) == 0 {
				t.Fatalf("%q %v", answers, err)
			}
			bodies := runs.all()
			if len(bodies) != c.runs || strings.Join(bodies, "") != "" {
				t.Errorf("run with %q; want %d runs without a body", bodies, c.runs)
			}
		})
	}
}
