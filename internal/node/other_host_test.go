package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against a request that crashes its upstreams and quarantines the request of another host with the same path.
func TestCrashingRequestOfOneHostDoesNotRefuseThatOfAnother(t *testing.T) {
	const crashingHost = "fees.example"
	a, address := startHedging(t, nil, nil)
	addCrashingTarget(t, a, "t1", crashingHost)
	addCrashingTarget(t, a, "t2", crashingHost)
	for i := 0; !strings.Contains(getFrom(t, address, crashingHost), "quarantined"); i++ {
		if i == 4 {
			t.Fatal("the crashing request is not quarantined")
		}
	}
	addCrashingTarget(t, a, "t3", crashingHost)
	for _, host := range []string{"rates.example", "other"} {
		if got := getFrom(t, address, host); got != "200 " {
			t.Errorf("request of host %s: %q", host, got)
		}
	}
	for _, host := range []string{crashingHost, "Fees.Example:80", "fees.example."} {
		if got := getFrom(t, address, host); got != "503 quarantined" {
			t.Errorf("crashing request of host %s: %q", host, got)
		}
	}
}

// addCrashingTarget adds a local target that a request of the host crashes, and publishes a view with all targets.
func addCrashingTarget(t *testing.T, a *acceptor, id model.TargetID, host string) {
	t.Helper()
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		name, _, _ := strings.Cut(strings.ToLower(strings.TrimSuffix(r.Host, ".")), ":")
		if name == host {
			_ = server.Listener.Close()
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	_, err := a.admitter.announce(admission.Announcement{
		Service: "s", Target: id, Address: strings.TrimPrefix(server.URL, "http://"), Slots: 1, Phase: model.PhaseReady,
	})
	if err != nil {
		t.Fatal(err)
	}
	service := &declaration.Service{Name: "s", Routes: []declaration.Route{
		{Host: "fees.example", Path: "/s", ObjectiveMS: 200}, {Host: "rates.example", Path: "/s", ObjectiveMS: 200}, {Path: "/s", ObjectiveMS: 200},
	}}
	record := &model.NodeRecord{Node: a.self, Targets: a.admitter.targets()}
	a.view.Store(core.BuildView(core.Inputs{
		Self:    a.self,
		Config:  &config.Snapshot{Services: map[model.ServiceName]*declaration.Service{"s": service}},
		Members: &membership.Snapshot{Members: map[model.NodeID]membership.Member{"n1": {Record: record}}},
		Loads:   newLoads().of,
	}))
}

// getFrom returns status and reason of the response to a request of the host.
func getFrom(t *testing.T, address, host string) string {
	t.Helper()
	res, err := roundTrip(t, address, fmt.Sprintf("GET /s/7 HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", host))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	return fmt.Sprintf("%d %s", res.StatusCode, res.Header.Get("Sardinereach-Reason"))
}

// Guards against a crashing request that is taken for another one at each node, because its callers use the addresses of the nodes
// as hosts.
func TestCrashingRequestIsTheSameAtEveryAddressOfNodes(t *testing.T) {
	a, _ := startHedging(t, nil, nil)
	fingerprints := map[uint64]bool{}
	for _, host := range []string{"127.0.0.1:80", "127.0.0.2:81"} {
		r := httptest.NewRequest(http.MethodGet, "http://"+host+"/s/7", http.NoBody)
		rq, err := a.read(deadlineRecorder{httptest.NewRecorder()}, r)
		if err != nil {
			t.Fatal(err)
		}
		fingerprints[rq.head.Fingerprint] = true
	}
	if len(fingerprints) != 1 {
		t.Errorf("%d fingerprints of one request, want 1", len(fingerprints))
	}
}

// deadlineRecorder is a response writer whose connection has read deadlines.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetReadDeadline(time.Time) error { return nil }
