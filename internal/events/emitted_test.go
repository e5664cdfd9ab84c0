package events

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against events in the catalogue that no code emits. Operators would wait for events that never appear.
func TestEveryEventIsEmitted(t *testing.T) {
	catalogue, err := os.ReadFile("catalogue.go")
	if err != nil {
		t.Fatal(err)
	}
	used := readSources(t, "../..")
	for _, match := range regexp.MustCompile(`(?m)^\t([A-Z]\w+) += &Event`).FindAllStringSubmatch(string(catalogue), -1) {
		if !regexp.MustCompile(`events\.` + match[1] + `\b`).MatchString(used) {
			t.Errorf("no code writes the event %s", match[1])
		}
	}
}

// readSources returns the Go code below root, without tests and this package.
func readSources(t *testing.T, root string) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if strings.Contains(filepath.ToSlash(path), "internal/events/") {
			return nil
		}
		data, err := os.ReadFile(path)
		all.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all.String()
}

// Guards against events that are written and missing from docs/events.md, because the catalogue does not list them.
func TestEveryEventIsListed(t *testing.T) {
	catalogue, err := os.ReadFile("catalogue.go")
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[string]bool)
	for _, event := range All() {
		listed[event.Name] = true
	}
	declared := regexp.MustCompile(`(?m)^\t[A-Z]\w+ += &Event\{\d+, "(\w+)"`).FindAllStringSubmatch(string(catalogue), -1)
	for _, match := range declared {
		if !listed[match[1]] {
			t.Errorf("the event %s is not listed", match[1])
		}
	}
	if len(declared) == 0 {
		t.Error("no event is declared")
	}
}
