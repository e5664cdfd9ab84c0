package sessions

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/statement"
)

func readPage(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../../docs/operations.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against statements on the operations page that are not valid in the command language.
func TestPageStatementsAreValid(t *testing.T) {
	found := regexp.MustCompile(`C '([^']+)'`).FindAllStringSubmatch(readPage(t), -1)
	if len(found) == 0 {
		t.Fatal("the page has no statements")
	}
	for _, match := range found {
		if _, err := statement.Parse(match[1]); err != nil {
			t.Errorf("%s: %v", match[1], err)
		}
	}
}

// Guards against event numbers on the operations page that do not exist.
func TestPageEventsExist(t *testing.T) {
	known := map[string]bool{}
	for _, event := range events.All() {
		known[fmt.Sprintf("SR%04d", event.Number)] = true
	}
	for _, number := range regexp.MustCompile(`SR\d{4}`).FindAllString(readPage(t), -1) {
		if !known[number] {
			t.Errorf("event %s does not exist", number)
		}
	}
}

// Guards against a script without a section on the operations page, and against a section whose script does not exist.
func TestPageNamesEverySession(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	page := readPage(t)
	for _, script := range scripts {
		if !strings.Contains(page, "Session: `"+filepath.Base(script)+"`") {
			t.Errorf("the page does not name %s", script)
		}
	}
	if sections := strings.Count(page, "Session: `"); sections != len(scripts) {
		t.Errorf("the page names %d sessions; want %d", sections, len(scripts))
	}
}
