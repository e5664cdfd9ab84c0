package fakeupstream

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// testTimeout bounds waits that would otherwise never end.
const testTimeout = 20 * time.Second

// nodeRecorder stands in for the node's announce listener and records the announced phases.
type nodeRecorder struct {
	mu     sync.Mutex
	phases []string
}

func (n *nodeRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body announcement
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.mu.Lock()
	n.phases = append(n.phases, body.Phase)
	n.mu.Unlock()
	writeJSON(w, announceAnswer{Phase: body.Phase})
}

func (n *nodeRecorder) received(phase string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.phases {
		if p == phase {
			return true
		}
	}
	return false
}

func startUpstream(t *testing.T, change func(*Config)) (*Server, *nodeRecorder) {
	t.Helper()
	node := &nodeRecorder{}
	listener := httptest.NewServer(node)
	config := Config{
		Service:        "proofroom",
		Target:         "proofroom-1",
		Listen:         "127.0.0.1:0",
		Control:        "127.0.0.1:0",
		Node:           listener.Listener.Addr().String(),
		Slots:          2,
		AnnouncePeriod: 5 * time.Millisecond,
		Seed:           1,
		Crash:          func() { panic(http.ErrAbortHandler) },
	}
	if change != nil {
		change(&config)
	}
	s, err := Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Close()
		listener.Close()
	})
	return s, node
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

func sendRequest(t *testing.T, s *Server, method, path string, headers map[string]string, body string) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// Guards against a VerifyContent that accepts the content of another request, or content of another length.
func TestArchiveIsBoundToItsRequest(t *testing.T) {
	s, _ := startUpstream(t, nil)
	const size = 300_001
	response := sendRequest(t, s, http.MethodGet, "/archive?bytes=300001", map[string]string{HeaderRequest: "a"}, "")
	if n, err := VerifyContent(response.Body, "a", size); err != nil || n != size {
		t.Errorf("own content: %d bytes, %v", n, err)
	}
	if _, err := VerifyContent(Content("b", size), "a", size); err == nil {
		t.Error("content of another request passed")
	}
	if _, err := VerifyContent(Content("a", size-1), "a", size); err == nil {
		t.Error("content that is one byte short passed")
	}
	if _, err := VerifyContent(Content("a", size+1), "a", size); err == nil {
		t.Error("content that is one byte long passed")
	}
}

// Guards against a duplicate run that is missing from the run log because another process of the target ran it.
func TestRunsAreRecordedAcrossProcesses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "runs")
	for range 2 {
		s, _ := startUpstream(t, func(c *Config) { c.RunLog = path })
		headers := map[string]string{HeaderAttempt: "n.1.1"}
		response := sendRequest(t, s, http.MethodPost, "/approvals", headers, `{"operation":"op-1"}`)
		var answer OperationAnswer
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
			t.Fatal(err)
		}
		if answer.Operation != "op-1" || answer.Attempt != "n.1.1" {
			t.Errorf("response %+v", answer)
		}
	}
	runs, err := ReadRunLog(path)
	if err != nil || len(runs) != 2 {
		t.Errorf("runs %+v, %v; want 2", runs, err)
	}
}

// Guards against a crash that loses the record of the run that caused the crash.
func TestPoisonCrashesAfterTheRunIsRecorded(t *testing.T) {
	s, _ := startUpstream(t, nil)
	request, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/approvals", strings.NewReader(`{"operation":"p"}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(HeaderPoison, "1")
	if response, err := http.DefaultClient.Do(request); err == nil {
		response.Body.Close()
		t.Fatalf("status %d; want a closed connection", response.StatusCode)
	}
	if runs := s.runs.all(); len(runs) != 1 {
		t.Errorf("runs %+v; want 1", runs)
	}
}

// Guards against requests that run without a free slot. They must be refused as not run and not recorded as runs.
func TestShedsWorkBeyondSlots(t *testing.T) {
	s, _ := startUpstream(t, func(c *Config) { c.Slots = 1 })
	s.faults.set(Faults{Hang: true})
	firstStatus := make(chan int, 1)
	go func() {
		response, err := http.Post("http://"+s.Address()+"/approvals", "application/json", strings.NewReader(`{"operation":"1"}`))
		if err != nil {
			firstStatus <- 0
			return
		}
		response.Body.Close()
		firstStatus <- response.StatusCode
	}()
	await(t, "the first request to run", func() bool { return s.counters.snapshot().InFlight == 1 })
	response := sendRequest(t, s, http.MethodPost, "/approvals", nil, `{"operation":"2"}`)
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get(HeaderNotRun) != "1" {
		t.Errorf("status %d, headers %v", response.StatusCode, response.Header)
	}
	s.faults.set(Faults{})
	if status := <-firstStatus; status != http.StatusOK {
		t.Errorf("first request: status %d", status)
	}
	if runs := s.runs.all(); len(runs) != 1 {
		t.Errorf("runs %+v; want 1", runs)
	}
}

// Guards against a drain that aborts requests, or a shutdown that is not announced.
func TestDrainFinishesWorkAndAnnouncesLeaving(t *testing.T) {
	s, node := startUpstream(t, nil)
	await(t, "ready", func() bool { return node.received("ready") })
	s.faults.set(Faults{Hang: true})
	body := make(chan string, 1)
	go func() {
		response, err := http.Post("http://"+s.Address()+"/echo", "text/plain", strings.NewReader("held"))
		if err != nil {
			body <- err.Error()
			return
		}
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		body <- string(data)
	}()
	await(t, "the request to run", func() bool { return s.counters.snapshot().InFlight == 1 })
	s.Drain(true)
	await(t, "draining", func() bool { return node.received("draining") })
	select {
	case <-s.Done():
		t.Fatal("shut down with a request in flight")
	default:
	}
	s.faults.set(Faults{})
	if got := <-body; got != "held" {
		t.Errorf("request in flight: %q", got)
	}
	select {
	case <-s.Done():
	case <-time.After(testTimeout):
		t.Fatal("did not shut down")
	}
	if !node.received("leaving") {
		t.Error("did not announce leaving")
	}
	if _, err := net.Dial("tcp", s.Address()); err == nil {
		t.Error("still listens after leaving")
	}
}

// Guards against faults without effect: each fault is set through the control listener and observed by a client.
func TestFaultsTakeEffect(t *testing.T) {
	s, _ := startUpstream(t, nil)
	control := NewControlClient(s.ControlAddress())
	set := func(f Faults) {
		t.Helper()
		if err := control.SetFaults(t.Context(), f); err != nil {
			t.Fatal(err)
		}
	}
	set(Faults{FailWork: true})
	if r := sendRequest(t, s, http.MethodGet, "/archive?bytes=1", nil, ""); r.StatusCode != http.StatusInternalServerError {
		t.Errorf("fail work: status %d", r.StatusCode)
	}
	if r := sendRequest(t, s, http.MethodGet, HealthProbePath, nil, ""); r.StatusCode != http.StatusNoContent {
		t.Errorf("health probe while requests fail: status %d", r.StatusCode)
	}
	set(Faults{Shed: true})
	if r := sendRequest(t, s, http.MethodGet, "/archive?bytes=1", nil, ""); r.Header.Get(HeaderNotRun) != "1" {
		t.Errorf("shed: headers %v", r.Header)
	}
	set(Faults{DropAnswer: true})
	if r, err := http.Post("http://"+s.Address()+"/approvals", "application/json", strings.NewReader(`{"operation":"d"}`)); err == nil {
		r.Body.Close()
		t.Errorf("dropped response: status %d", r.StatusCode)
	}
	if runs := s.runs.all(); len(runs) != 1 {
		t.Errorf("runs with a dropped response %+v; want 1", runs)
	}
	set(Faults{TruncateAfterBytes: 100})
	r := sendRequest(t, s, http.MethodGet, "/archive?bytes=1000", map[string]string{HeaderRequest: "t"}, "")
	if _, err := VerifyContent(r.Body, "t", 1000); err == nil {
		t.Error("truncated body passed")
	}
	set(Faults{StallAfterBytes: 100})
	r = sendRequest(t, s, http.MethodGet, "/archive?bytes=1000", map[string]string{HeaderRequest: "s"}, "")
	if _, err := io.CopyN(io.Discard, r.Body, 100); err != nil {
		t.Errorf("bytes before the stall: %v", err)
	}
	set(Faults{})
	if rest, err := io.Copy(io.Discard, r.Body); err != nil || rest != 900 {
		t.Errorf("after the stall: %d bytes, %v", rest, err)
	}
	if err := control.SetFaults(t.Context(), Faults{ErrorShare: 2}); err == nil {
		t.Error("an error share of 2 was accepted")
	}
}

// Guards against injected errors that depend on anything but the seed.
func TestErrorShareFollowsTheSeed(t *testing.T) {
	count := func() int {
		s, _ := startUpstream(t, nil)
		s.faults.set(Faults{ErrorShare: 0.3})
		failed := 0
		for range 60 {
			if sendRequest(t, s, http.MethodGet, "/archive?bytes=1", nil, "").StatusCode != http.StatusOK {
				failed++
			}
		}
		return failed
	}
	first, second := count(), count()
	if first == 0 || first == 60 || first != second {
		t.Errorf("%d and %d failures of 60; want equal numbers between", first, second)
	}
}

// Guards against an announcement that ignores Faults.StuckLoad, and against a drain during a freeze that is not
// announced after the freeze.
func TestStuckLoadAndFreeze(t *testing.T) {
	s, node := startUpstream(t, nil)
	load := 0.25
	if got := s.announcement(Faults{StuckLoad: &load}).Load; got != load {
		t.Errorf("load %g; want %g", got, load)
	}
	await(t, "ready", func() bool { return node.received("ready") })
	s.faults.set(Faults{Freeze: true})
	s.Drain(false)
	s.faults.set(Faults{})
	await(t, "draining after the freeze", func() bool { return node.received("draining") })
}
