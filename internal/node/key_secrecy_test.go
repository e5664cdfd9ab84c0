package node

import (
	"errors"
	"fmt"
	stdlog "log"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/callerconn"
	"github.com/sardinereach/sardinereach/internal/events"
)

// Guards against an API key in a log line, a metric, a response, the dump of a panic, or a header of the upstream.
func TestKeyLeavesNoTrace(t *testing.T) {
	log := new(collectedLog)
	get := func(path, fields string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" }
	key := "Api-Key: " + testKey + "\r\n"
	for name, step := range map[string]struct {
		prepare func(*acceptor)
		request string
	}{
		"served":      {nil, get("/s", key)},
		"open":        {nil, get("/open", key)},
		"two keys":    {nil, get("/s", key+key)},
		"withdrawn":   {func(a *acceptor) { setAccounts(a, nil) }, get("/s", key)},
		"no route":    {nil, get("/none", key)},
		"bad time":    {nil, get("/s", key+"Time-Left: soon\r\n")},
		"two IDs":     {nil, get("/s", key+"Request-Id: 1\r\nRequest-Id: 2\r\n")},
		"large body":  {nil, get("/s", key+"Content-Length: 1000\r\n")},
		"malformed":   {nil, get("/s", "Api-Key "+testKey+"\r\n")},
		"bad name":    {nil, get("/s", "Api Key: "+testKey+"\r\n")},
		"folded":      {nil, get("/s", "Api-Key: x\r\n "+testKey+"\r\n")},
		"bad chunks":  {nil, "PUT /s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n" + key + "\r\nz\r\nApi-Key: " + testKey + "\r\n\r\n"},
		"no target":   {func(a *acceptor) { a.admitter.stop() }, get("/s", key)},
		"not ready":   {func(a *acceptor) { a.ready = func() bool { return false } }, get("/s", key)},
		"stopping":    {func(a *acceptor) { a.stopping.Store(true) }, get("/s", key)},
		"early panic": {func(a *acceptor) { a.ready = func() bool { panic(errOfTest) } }, get("/s", key)},
		"late panic":  {func(a *acceptor) { a.budgets = nil }, get("/s", key)},
		"run panics":  {func(a *acceptor) { a.admitter.onAttemptEnd = func(observation) { panic(errOfTest) } }, get("/s", key)},
	} {
		target, received := startRecorder(t)
		a, _ := startKeyed(t, target)
		a.log = events.New(log, time.Now)
		if step.prepare != nil {
			step.prepare(a)
		}
		response := sendLogged(t, a, log, step.request)
		if strings.Contains(response, testKey) {
			t.Errorf("%s: the response has the key: %s", name, response)
		}
		if metrics := a.metrics.Var().String(); strings.Contains(metrics, testKey) || !strings.Contains(metrics, "api_key_required") {
			t.Errorf("%s: metrics %s", name, metrics)
		}
		for len(received) > 0 {
			if header := fmt.Sprint(<-received); strings.Contains(header, testKey) {
				t.Errorf("%s: the upstream gets %s", name, header)
			}
		}
	}
	text := log.text()
	if strings.Contains(text, testKey) {
		t.Errorf("the key is in the log:\n%s", text)
	}
	for _, want := range []string{
		`account="a1" access="key"`, `account="a1" access="open"`, "request_api_key_required", "request_api_key_unknown", "panic serving",
		"panic_recovered", "request_no_route", "request_bad_request", "request_body_too_large", "request_body_incomplete",
		"request_not_ready", "request_node_stopping",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the log lacks %s:\n%s", want, text)
		}
	}
}

var errOfTest = errors.New("of the test")

// sendLogged sends the raw request to a server whose own errors go to the log. It returns the whole response.
func sendLogged(t *testing.T, a *acceptor, log *collectedLog, request string) string {
	t.Helper()
	server := httptest.NewUnstartedServer(a)
	server.Config.ErrorLog = stdlog.New(logWriter{log}, "", 0)
	server.Config.ConnContext = callerconn.WithConn
	server.Start()
	defer server.Close()
	res, err := roundTrip(t, strings.TrimPrefix(server.URL, "http://"), request)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(res.Header, refusalTextOf(t, res))
}

// logWriter writes the error log of an HTTP server to the collected log.
type logWriter struct{ log *collectedLog }

func (w logWriter) Write(line []byte) (int, error) {
	w.log.Write(0, string(line))
	return len(line), nil
}
