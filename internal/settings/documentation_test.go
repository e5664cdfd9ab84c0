package settings

import (
	"os"
	"strings"
	"testing"
)

// docRow is the documented default of one key. Its label consists of the section and the key.
type docRow struct{ label, defaultText string }

// docRows returns the rows of the tables with five columns.
func docRows(page string) []docRow {
	const columns = 5
	var rows []docRow
	for line := range strings.Lines(page) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != columns || strings.HasPrefix(cells[0], "-") || strings.TrimSpace(cells[0]) == "section" {
			continue
		}
		label := keyLabel(strings.TrimSpace(cells[0]), strings.TrimSpace(cells[1]))
		rows = append(rows, docRow{label: label, defaultText: strings.TrimSpace(cells[3])})
	}
	return rows
}

// documentedDefault returns the text that must document the default of a key.
func documentedDefault(spec keySpec) string {
	switch {
	case !spec.optional:
		return "required"
	case spec.defaultText == "":
		return "none"
	}
	return spec.defaultText
}

// Guards against a settings page that lacks a key, lists a removed one, or documents a different default.
func TestDocumentationListsEveryKey(t *testing.T) {
	data, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	stated := map[string]string{}
	for _, row := range docRows(string(data)) {
		if _, twice := stated[row.label]; twice {
			t.Errorf("%s is listed twice", row.label)
		}
		stated[row.label] = row.defaultText
	}
	for _, section := range sectionNames() {
		for _, key := range keyNames(section) {
			label := keyLabel(section, key)
			if want := documentedDefault(schema[section][key]); stated[label] != want {
				t.Errorf("%s: documented default %q, want %q", label, stated[label], want)
			}
			delete(stated, label)
		}
	}
	for label := range stated {
		t.Errorf("%s is documented but not in the schema", label)
	}
}
