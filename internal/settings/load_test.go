package settings_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/settings"
)

// minimal is the smallest valid file.
const minimal = `[node]
id = n1
region = tas-south
failure_domain = hobart-a
[listen]
callers = 127.0.0.1:7001
peers = 127.0.0.1:7002
operators = 127.0.0.1:7003
upstreams = 127.0.0.1:7004
[store]
address = 127.0.0.1:7000
`

// complete sets every key.
var complete = strings.NewReplacer(
	"[listen]\n", "interface = platform\n[listen]\nhealth = 127.0.0.1:7005\nmetrics = 127.0.0.1:7006\n",
).Replace(minimal) + `timeout = 750ms
; a comment
[peers]
seeds = 127.0.0.2:7002, [::1]:7002
[operators]
token = "0123456789abcdef#;="
[limits]
max_body = 3KB
max_header = 16KB
max_connections = 100
max_requests = 50
read_header_timeout = 1s
idle_timeout = 3m
held_answers = 2MB
queue_per_target = 0
link_bytes_per_second = 3750KB
[upstream]
service = proofroom
[retries]
share = 0.25
fleet_per_second = 6
burst = 2
window_extra = 60
statuses = 500, 503
[ejection]
detector = no
permits = no
floor_share = 0.7
[shutdown]
grace = 1m30s
lame_duck = 2s
`

// Guards against reading a key into the wrong field or with the wrong unit.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(path, []byte(complete), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	local := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	}
	want := &settings.Settings{
		Node: settings.Node{ID: "n1", Region: "tas-south", FailureDomain: "hobart-a", Interface: settings.InterfacePlatform},
		Listen: settings.Listen{
			Callers: local(7001), Peers: local(7002), Operators: local(7003), Upstreams: local(7004), Health: local(7005), Metrics: local(7006),
		},
		Store:     settings.Store{Address: local(7000), Timeout: 750 * time.Millisecond},
		Peers:     settings.Peers{Seeds: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.2:7002"), netip.MustParseAddrPort("[::1]:7002")}},
		Operators: settings.Operators{Token: "0123456789abcdef#;="},
		Limits: settings.Limits{
			MaxBodyBytes: 3 << 10, MaxHeaderBytes: 16 << 10, MaxConnections: 100, MaxRequests: 50, ReadHeaderTimeout: time.Second,
			IdleTimeout: 3 * time.Minute, RetainedResponseBytes: 2 << 20, LinkBytesPerSecond: 3750 << 10,
		},
		Upstream: settings.Upstream{Service: "proofroom"},
		Retries:  settings.Retries{Share: 0.25, FleetPerSecond: 6, Burst: 2, WindowExtra: 60, Statuses: []int{500, 503}},
		Ejection: settings.Ejection{Detector: false, Permits: false, FloorShare: 0.7},
		Shutdown: settings.Shutdown{Grace: 90 * time.Second, LameDuck: 2 * time.Second},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	if _, err := settings.Load(path + ".absent"); err == nil {
		t.Error("a missing file returns no error")
	}
}

// Guards against invalid defaults, and against a node identity with a wrong address.
func TestDefaults(t *testing.T) {
	got, err := settings.Parse("node.ini", []byte(minimal))
	if err != nil {
		t.Fatal(err)
	}
	if got.Limits.MaxBodyBytes != 16<<20 || got.Shutdown.Grace != 30*time.Second || got.Limits.LinkBytesPerSecond != 0 {
		t.Errorf("defaults %+v", got)
	}
	want := model.Node{
		ID: "n1", Incarnation: 9, Region: "tas-south", Domain: "hobart-a", PeerAddress: "127.0.0.1:7002",
		CallerAddress: "127.0.0.1:7001", OperatorAddress: "127.0.0.1:7003",
	}
	if identity := got.Identity(9); identity != want {
		t.Errorf("identity %+v, want %+v", identity, want)
	}
}

// Guards against accepting invalid settings, and against an error without the line or the valid values.
func TestFaults(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown section", "[store]", "[sotre]\nx = 1\n[store]", "x.ini:10: [sotre]: unknown section; use one of ejection, limits, listen"},
		{"unknown key", "id = n1", "id = n1\nrack = 4", "x.ini:3: [node] rack: unknown key; use one of failure_domain, id, interface, region"},
		{"key before a section", "[node]", "id = n0\n[node]", "x.ini:1: [] id: appears before the first section"},
		{"duplicate key", "id = n1", "id = n1\nid = n2", "x.ini:3: [node] id: duplicates line 2"},
		{"duplicate section", "[store]", "[node]\n[store]", "x.ini:10: [node]: duplicates line 1"},
		{"missing key", "id = n1\n", "", "x.ini:1: [node] id: is missing; use 1 to 63"},
		{"missing section", "[store]\naddress = 127.0.0.1:7000\n", "", "x.ini: [store] address: is missing; use IP:port"},
		{"empty value", "id = n1", "id =", `x.ini:2: [node] id: "" is not a name`},
		{"bad name", "id = n1", "id = N_1", `x.ini:2: [node] id: "N_1" is not a name`},
		{"host name", "127.0.0.1:7001", "localhost:7001", `x.ini:6: [listen] callers: "localhost:7001" is not an address`},
		{"unspecified address", "127.0.0.1:7001", "0.0.0.0:7001", "x.ini:6: [listen] callers: \"0.0.0.0:7001\" is an unspecified address"},
		{"port 0 outside", "127.0.0.1:7001", "192.0.2.1:0", "x.ini:6: [listen] callers: \"192.0.2.1:0\" has port 0"},
		{"same address", "127.0.0.1:7002", "127.0.0.1:7001", "x.ini:7: [listen] peers: 127.0.0.1:7001 is also the address of callers"},
		{"store is the node", "127.0.0.1:7000", "127.0.0.1:7004", "x.ini:11: [store] address: 127.0.0.1:7004 is also [listen] upstreams"},
		{"token needed", "127.0.0.1:7003", "192.0.2.1:7003", "[operators] token: is missing, and the operators' listener 192.0.2.1:7003 is not loopback"},
		{"short token", "[store]", "[operators]\ntoken = secret\n[store]", "x.ini:11: [operators] token: the token is too short"},
		{"seed", "[store]", "[peers]\nseeds = 127.0.0.1:1,\n[store]", `x.ini:11: [peers] seeds: "" is not an address; use a comma-separated list`},
		{"seed twice", "[store]", "[peers]\nseeds = 127.0.0.1:1,127.0.0.1:1\n[store]", "x.ini:11: [peers] seeds: 127.0.0.1:1 is listed twice"},
		{"missing unit", "[store]", "[limits]\nmax_body = 100\n[store]", `x.ini:11: [limits] max_body: "100" is not a size; use a whole number with the unit KB or MB`},
		{"bad unit", "[store]", "[limits]\nmax_body = 1GB\n[store]", `"1GB" is not a size`},
		{"zero body size", "[store]", "[limits]\nmax_body = 0\n[store]", `"0" is out of range`},
		{"fraction", "[store]", "[limits]\nmax_requests = 1.5\n[store]", `"1.5" is not a valid number`},
		{"time without unit", "[store]", "[shutdown]\ngrace = 30\n[store]", `x.ini:11: [shutdown] grace: "30" is not a valid time; use a time above 0 with its unit`},
		{"negative time", "[store]", "[shutdown]\ngrace = -1s\n[store]", `"-1s" is not a valid time`},
		{"more requests than connections", "[store]", "[limits]\nmax_requests = 9\nmax_connections = 8\n[store]", "x.ini:11: [limits] max_requests: 9 is above max_connections 8"},
		{"unknown interface", "[listen]", "interface = http\n[listen]", `x.ini:5: [node] interface: "http" is not an interface; use own or platform`},
		{"share above 1", "[store]", "[retries]\nshare = 1.5\n[store]", `x.ini:11: [retries] share: "1.5" is not a valid number; use a number from 0 to 1`},
		{"not a number", "[store]", "[retries]\nburst = NaN\n[store]", `x.ini:11: [retries] burst: "NaN" is not a valid number`},
		{"success retried", "[store]", "[retries]\nstatuses = 200\n[store]", `x.ini:11: [retries] statuses: "200" is not a valid number; use a comma-separated list of statuses`},
		{"neither yes nor no", "[store]", "[ejection]\npermits = true\n[store]", `x.ini:11: [ejection] permits: "true" is neither yes nor no`},
		{"health on the callers' port", "[listen]", "[listen]\nhealth = 127.0.0.1:7001", "[listen] health: 127.0.0.1:7001 is also the address of callers"},
		{"not an INI line", "[store]", "what\n[store]", "x.ini:10: syntax: the line is not an INI line"},
	}
	for _, c := range cases {
		_, err := settings.Parse("x.ini", []byte(strings.Replace(minimal, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
		if err != nil && strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: the error contains the token: %v", c.name, err)
		}
	}
}

// Guards against reporting only the first fault.
func TestAllFaultsAtOnce(t *testing.T) {
	text := strings.NewReplacer("id = n1", "id = N", "7001", "x", "[store]", "[limits]\nmax_body = 1\nother = 2\n[store]").Replace(minimal)
	_, err := settings.Parse("x.ini", []byte(text))
	var faults *settings.FaultsError
	if !errors.As(err, &faults) {
		t.Fatal(err)
	}
	var lines []int
	for _, fault := range faults.Faults {
		lines = append(lines, fault.Line)
	}
	if !reflect.DeepEqual(lines, []int{2, 6, 11, 12}) {
		t.Errorf("faults in lines %v:\n%v", lines, err)
	}
}

// Guards against a panic, against settings that are returned together with an error, and against an error without faults.
func FuzzParse(f *testing.F) {
	f.Add([]byte(complete))
	f.Add([]byte("[node\nid = \"\"\"n1\n[listen]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := settings.Parse("x.ini", data)
		if (got == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", got, err)
		}
		var faults *settings.FaultsError
		if err != nil && (!errors.As(err, &faults) || len(faults.Faults) == 0) {
			t.Fatalf("error %T without faults", err)
		}
	})
}
