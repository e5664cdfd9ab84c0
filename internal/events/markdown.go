package events

import (
	"fmt"
	"strings"
)

// Markdown returns the catalogue as the table in docs/events.md.
func Markdown() string {
	var text strings.Builder
	text.WriteString("| number | name | severity | text | fields |\n|---|---|---|---|---|\n")
	for _, event := range All() {
		fmt.Fprintf(&text, "| SR%04d | %s | %s | %s | %s |\n", event.Number, event.Name, event.Severity, event.Text, fieldList(event))
	}
	return text.String()
}

func fieldList(event *Event) string {
	names := make([]string, len(event.Fields))
	for i, key := range event.Fields {
		names[i] = string(key)
	}
	return strings.Join(names, ", ")
}
