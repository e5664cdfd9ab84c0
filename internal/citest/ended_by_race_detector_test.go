// Package citest tests the scripts of .ci.
package citest

import (
	"os/exec"
	"strings"
	"testing"
)

// Guards against a CI run that passes over a failed test because the race detector crashed in the same run.
func TestOnlyPackagesEndedByTheRaceDetectorAreTestedWithoutIt(t *testing.T) {
	const crash = "ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346 \"x\" (0x0, 0x0) (tid=1)\n"
	for name, c := range map[string]struct {
		output string
		// want is empty if the run has failed.
		want string
	}{
		"crash":                         {"ok  \tp/a\t1s\n" + crash + "FAIL\tp/b\t37.004s\nok  \tp/c\t1s\nFAIL\n", "p/b\n"},
		"two crashes":                   {crash + "exit status 66\nFAIL\tp/b\t1s\n?   \tp/x\t[no test files]\n" + crash + "FAIL\tp/c\t1s\nFAIL\n", "p/b\np/c\n"},
		"failed test before the crash":  {"--- FAIL: TestX (0.1s)\n" + crash + "FAIL\tp/b\t1s\nFAIL\n", ""},
		"failed test elsewhere":         {crash + "FAIL\tp/b\t1s\n    --- FAIL: TestX/y (0.1s)\nFAIL\nFAIL\tp/c\t1s\nFAIL\n", ""},
		"failed test only":              {"--- FAIL: TestX (0.1s)\nFAIL\nFAIL\tp/c\t1s\nFAIL\n", ""},
		"race before the crash":         {"WARNING: DATA RACE\n" + crash + "FAIL\tp/b\t1s\nFAIL\n", ""},
		"panic before the crash":        {"panic: x\n" + crash + "FAIL\tp/b\t1s\nFAIL\n", ""},
		"package that does not compile": {crash + "FAIL\tp/b\t1s\nFAIL\tp/d [build failed]\nFAIL\n", ""},
		"time limit":                    {crash + "FAIL\tp/b\t1s\npanic: test timed out after 20m0s\nFAIL\tp/c\t1200s\nFAIL\n", ""},
		"end without a result":          {crash, ""},
		"crash in a passed package":     {crash + "ok  \tp/a\t1s\nFAIL\tp/b\t1s\nFAIL\n", ""},
	} {
		script := exec.Command("awk", "-f", "../../.ci/ended_by_race_detector.awk")
		script.Stdin = strings.NewReader(c.output)
		got, err := script.Output()
		if string(got) != c.want || (err == nil) != (c.want != "") {
			t.Errorf("%s: %q, %v; want %q", name, got, err, c.want)
		}
	}
}
