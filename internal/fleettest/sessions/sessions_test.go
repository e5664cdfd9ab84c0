package sessions

import (
	"flag"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var update = flag.Bool("update", false, "write the current output into the scripts")

// Guards against an operations page whose statements, exit codes, reasons or event numbers differ from those of the
// programs.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Setup:         startTestFleet,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ctl":     runControl,
			"await":   awaitControl,
			"store":   changeStore,
			"node":    changeNode,
			"fail":    failTarget,
			"load":    loadUntil,
			"logged":  awaitLogged,
			"approve": runOperation,
			"poison":  sendPoison,
		},
	})
}
