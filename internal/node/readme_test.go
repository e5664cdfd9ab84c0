package node

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// readmeStatuses returns the statuses in the README's table, by verdict and reason.
func readmeStatuses(t *testing.T) map[verdict.Verdict]map[verdict.Reason]int {
	t.Helper()
	page, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	statuses := map[verdict.Verdict]map[verdict.Reason]int{verdict.NotRun: {}, verdict.MayHaveRun: {}}
	rows := regexp.MustCompile(`(?m)^\| (\d{3}) \| (not-run|may-have-run) \| (.*) \|$`).FindAllStringSubmatch(string(page), -1)
	for _, row := range rows {
		status, _ := strconv.Atoi(row[1])
		v, _ := verdict.Parse(row[2])
		for _, reason := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(row[3], -1) {
			statuses[v][verdict.Reason(reason[1])] = status
		}
	}
	return statuses
}

// Guards against a README that documents other statuses than callers receive. Reasons that are not in the table have the
// status 503 for not-run and 504 for may-have-run.
func TestReadmeStatusTable(t *testing.T) {
	named := readmeStatuses(t)
	if len(named[verdict.NotRun]) == 0 || len(named[verdict.MayHaveRun]) == 0 {
		t.Fatal("the README's table of statuses was not found")
	}
	for v, fallback := range map[verdict.Verdict]int{verdict.NotRun: 503, verdict.MayHaveRun: 504} {
		for _, reason := range verdict.Reasons() {
			want, ok := named[v][reason]
			if !ok {
				want = fallback
			}
			if got := statusOf(&verdict.Error{Verdict: v, Reason: reason}); got != want {
				t.Errorf("%s %s: callers receive %d, the README documents %d", v, reason, got, want)
			}
		}
	}
}
