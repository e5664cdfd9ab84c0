package settings

import (
	"os"
	"strings"
	"testing"
)

// pageRow is the default that the page states for one key, with the section and key as label.
type pageRow struct{ label, fallback string }

// pageRows returns the rows of the first table with five columns.
func pageRows(page string) []pageRow {
	const columns = 5
	var rows []pageRow
	for line := range strings.Lines(page) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != columns || strings.HasPrefix(cells[0], "-") || strings.TrimSpace(cells[0]) == "section" {
			continue
		}
		label := keyLabel(strings.TrimSpace(cells[0]), strings.TrimSpace(cells[1]))
		rows = append(rows, pageRow{label: label, fallback: strings.TrimSpace(cells[3])})
	}
	return rows
}

// statedDefault is how the page states the default of a key.
func statedDefault(spec keySpec) string {
	switch {
	case !spec.optional:
		return "required"
	case spec.fallback == "":
		return "none"
	}
	return spec.fallback
}

// Guards against a settings page that lacks a key, names one that is gone, or states another default.
func TestPageListsEveryKey(t *testing.T) {
	data, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	stated := map[string]string{}
	for _, row := range pageRows(string(data)) {
		if _, twice := stated[row.label]; twice {
			t.Errorf("%s is listed twice", row.label)
		}
		stated[row.label] = row.fallback
	}
	for _, section := range sectionNames() {
		for _, key := range keyNames(section) {
			label := keyLabel(section, key)
			if want := statedDefault(schema[section][key]); stated[label] != want {
				t.Errorf("%s: the page states the default %q; want %q", label, stated[label], want)
			}
			delete(stated, label)
		}
	}
	for label := range stated {
		t.Errorf("%s is on the page and not in the schema", label)
	}
}
