package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"slices"
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

var update = flag.Bool("update", false, "update the golden files in the scripts with the current output")

// scriptToken is the operators' token of the server. Each script has a file with it.
const scriptToken = "0123456789abcdef"

const (
	// pinnedSnapshots is more than the number of snapshots that an apply without -wait reads.
	pinnedSnapshots = 20
	// pollInterval is short, so that scripts that use -wait finish quickly.
	pollInterval = time.Millisecond
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"sardinereachctl": main})
}

// Guards against changes of the output, the exit codes or the effects of complete operator sessions. Each script has its
// own in-memory fleet behind a real listener.
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

// runTool implements the script command "ctl CODE ARGUMENTS...". It runs sardinereachctl with -server, -token-file and
// the arguments, and checks the exit code.
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

// changeFleet implements the script command "fleet ACTION [NODE or FLOOR]", which changes the script's fleet.
func changeFleet(ts *testscript.TestScript, negated bool, arguments []string) {
	fleet := ts.Value(fleetKey{}).(*fakefleet.Fleet)
	argument := strings.Join(arguments[1:], " ")
	node := model.NodeID(argument)
	switch arguments[0] {
	case "unresponsive":
		fleet.SetUnresponsive(node)
	case "pin-config":
		fleet.PinConfig(node)
	case "pin-config-temporarily":
		fleet.PinConfigFor(node, pinnedSnapshots)
	case "suspect":
		fleet.Suspect(node)
	case "incomplete":
		fleet.SetIncomplete()
	case "lose-response":
		fleet.Inject(fakefleet.ResponseLostAfterWrite)
	case "store-down":
		fleet.Inject(fakefleet.Unavailable)
	case "other-account":
		fleet.BeforeNextWrite(func() { putOtherAccount(ts, fleet, argument) })
	case "read-only":
		fleet.FailAccountWrites(errors.New("platform: the configuration is written by the platform's operator"))
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

// putOtherAccount stores an account without keys like the write of another operator, beside the accounts of its group.
func putOtherAccount(ts *testscript.TestScript, fleet *fakefleet.Fleet, name string) {
	group := declaration.GroupOf(model.AccountName(name))
	stored, err := fleet.ReadAccounts(context.Background(), group)
	ts.Check(err)
	stored.Group.Accounts = slices.DeleteFunc(stored.Group.Accounts, func(a declaration.Account) bool { return string(a.Name) == name })
	stored.Group.Accounts = append(stored.Group.Accounts, declaration.Account{Name: model.AccountName(name), RatePerSecond: 1})
	stored.Group.ChangeID = "other." + name
	fleet.PutAccounts(group, stored.Group)
}
