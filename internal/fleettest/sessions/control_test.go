package sessions

import (
	"context"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// outputFile receives the normalised output of the last command of a script.
const outputFile = "out"

// unstable lists the parts of the output that differ between runs, and their replacements.
var unstable = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`127\.\d+\.\d+\.\d+:\d+`), "ADDRESS"},
	{regexp.MustCompile(`revision \d+`), "revision N"},
	{regexp.MustCompile(`oldest fact \d+ ms`), "oldest fact N ms"},
	{regexp.MustCompile(`/\S*/([a-z]+\.sr)`), "$1"},
	// The cause describes how the connection was lost.
	{regexp.MustCompile(`store: unavailable: .*`), "store: unavailable: CAUSE"},
}

func normalise(text string) string {
	for _, replacement := range unstable {
		text = replacement.pattern.ReplaceAllString(text, replacement.text)
	}
	return nodeList.ReplaceAllStringFunc(text, sortNames)
}

// nodeList matches the list of unresponsive nodes in a warning. Its order differs between responses.
var nodeList = regexp.MustCompile(`(?m)(?:[a-z0-9-]+, )+[a-z0-9-]+$`)

func sortNames(list string) string {
	names := strings.Split(list, ", ")
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// control runs sardinereachctl against the first node and returns its exit code and output.
func (s *testFleet) control(arguments []string) (int, string) {
	output, err := s.Control(s.ctx, s.Nodes[0], "", arguments...)
	var exit *exec.ExitError
	switch {
	case err == nil:
		return 0, normalise(output)
	case errors.As(err, &exit):
		return exit.ExitCode(), normalise(output)
	}
	return -1, err.Error()
}

// runControl implements "ctl CODE ARGUMENTS...": it runs sardinereachctl, checks the exit code and writes the output.
func runControl(ts *testscript.TestScript, _ bool, arguments []string) {
	want, err := strconv.Atoi(arguments[0])
	ts.Check(err)
	code, output := testFleetOf(ts).control(absoluteDeclarationPaths(ts, arguments[1:]))
	writeOutput(ts, output)
	if code != want {
		ts.Fatalf("exit code %d, want %d:\n%s", code, want, output)
	}
}

// awaitControl implements "await PATTERN ARGUMENTS...": it runs sardinereachctl until the output matches, and writes
// the output.
func awaitControl(ts *testscript.TestScript, _ bool, arguments []string) {
	s, pattern := testFleetOf(ts), regexp.MustCompile("(?m)"+arguments[0])
	ts.Check(fleettest.Poll(s.ctx, arguments[0], func(context.Context) error {
		_, output := s.control(absoluteDeclarationPaths(ts, arguments[1:]))
		writeOutput(ts, output)
		if !pattern.MatchString(output) {
			return errors.New(output)
		}
		return nil
	}))
}

// absoluteDeclarationPaths replaces names of declaration files by absolute paths, because sardinereachctl runs in
// another directory.
func absoluteDeclarationPaths(ts *testscript.TestScript, arguments []string) []string {
	var out []string
	for _, argument := range arguments {
		if strings.HasSuffix(argument, ".sr") {
			argument = ts.MkAbs(argument)
		}
		out = append(out, argument)
	}
	return out
}

func writeOutput(ts *testscript.TestScript, text string) {
	const mode = 0o600
	ts.Check(os.WriteFile(ts.MkAbs(outputFile), []byte(text), mode))
}
