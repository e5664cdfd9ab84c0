package main

import (
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/operator"
	"github.com/sardinereach/sardinereach/internal/operator/fakefleet"
)

var update = flag.Bool("update", false, "write the present output into the scripts")

// scriptToken is the token of the server in every script.
const scriptToken = "0123456789abcdef"

const (
	// heldSnapshots is more than an apply without -wait takes.
	heldSnapshots = 20
	// pollInterval keeps scripts that wait short.
	pollInterval = time.Millisecond
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"sardinereachctl": main})
}

// Guards against changes of the output, the exit codes or the effect of whole operator sessions. Each script has its own
// fleet in memory behind a real listener.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: *update,
		Setup:         startFleet,
		Cmds:          map[string]func(*testscript.TestScript, bool, []string){"ctl": runTool, "fleet": changeFleet},
	})
}

type fleetKey struct{}

func startFleet(env *testscript.Env) error {
	fleet := fakefleet.New()
	server := operator.NewServer(fleet, operator.Options{Node: "n1", Incarnation: 1, Token: scriptToken, PollInterval: pollInterval})
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	listener := httptest.NewServer(mux)
	env.Defer(listener.Close)
	env.Values[fleetKey{}] = fleet
	env.Setenv("SERVER", strings.TrimPrefix(listener.URL, "http://"))
	return nil
}

// runTool runs "ctl CODE ARGUMENTS..." and checks the exit code. The arguments follow -server and -token-file.
func runTool(ts *testscript.TestScript, negated bool, arguments []string) {
	if negated || len(arguments) < 2 {
		ts.Fatalf("usage: ctl CODE ARGUMENTS...")
	}
	want, err := strconv.Atoi(arguments[0])
	ts.Check(err)
	command := append([]string{"-server", ts.Getenv("SERVER"), "-token-file", "token"}, arguments[1:]...)
	got := exitCode(ts.Exec("sardinereachctl", command...))
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

func exitCode(err error) int {
	var exit *exec.ExitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		return exit.ExitCode()
	}
	return -1
}

// changeFleet runs "fleet ACTION [NODE or FLOOR]" on the script's fleet.
func changeFleet(ts *testscript.TestScript, negated bool, arguments []string) {
	fleet := ts.Value(fleetKey{}).(*fakefleet.Fleet)
	argument := strings.Join(arguments[1:], " ")
	node := model.NodeID(argument)
	switch arguments[0] {
	case "silence":
		fleet.SetUnresponsive(node)
	case "hold":
		fleet.PinConfig(node)
	case "hold-for-a-time":
		fleet.PinConfigFor(node, heldSnapshots)
	case "suspect":
		fleet.Suspect(node)
	case "incomplete":
		fleet.SetIncomplete()
	case "lose-answer":
		fleet.Inject(fakefleet.ResponseLostAfterWrite)
	case "store-down":
		fleet.Inject(fakefleet.Unavailable)
	case "other-operator":
		fleet.BeforeNextWrite(func() { fleet.Put(otherDocument(ts, argument)) })
	default:
		ts.Fatalf("unknown action %q", arguments[0])
	}
	if negated {
		ts.Fatalf("fleet cannot be negated")
	}
}

func otherDocument(ts *testscript.TestScript, floor string) declaration.Document {
	slots, err := strconv.Atoi(floor)
	ts.Check(err)
	service := declaration.Service{Name: "proofroom", FloorSlots: slots, Routes: []declaration.Route{{Path: "/proofs"}}}
	return declaration.Document{Service: service, ChangeID: fmt.Sprint("other.", floor)}
}
