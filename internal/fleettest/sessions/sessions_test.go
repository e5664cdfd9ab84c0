package sessions

import (
	"flag"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var update = flag.Bool("update", false, "write the present output into the scripts")

// Guards against an operations page whose statements, exit codes, reasons or event numbers differ from the product's.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Setup:         startScene,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ctl":     runControl,
			"await":   awaitControl,
			"store":   changeStore,
			"node":    changeNode,
			"fail":    failTarget,
			"load":    loadUntil,
			"logged":  awaitLogged,
			"approve": approve,
			"poison":  poison,
		},
	})
}
