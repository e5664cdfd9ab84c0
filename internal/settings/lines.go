package settings

import "strings"

// position is the location of a section header or key in the file.
type position struct {
	section string
	// key is empty for a section header.
	key  string
	line int
}

// scanLines returns the section headers and keys with their lines. It is needed because the INI library does not report
// line numbers and merges duplicates silently.
func scanLines(data []byte) []position {
	var found []position
	section := ""
	for i, raw := range strings.Split(string(data), "\n") {
		text := strings.TrimSpace(strings.TrimPrefix(raw, "\ufeff"))
		if name, ok := headerName(text); ok {
			section = name
			found = append(found, position{section: section, line: i + 1})
			continue
		}
		if key, ok := keyName(text); ok {
			found = append(found, position{section: section, key: key, line: i + 1})
		}
	}
	return found
}

func headerName(text string) (string, bool) {
	if !strings.HasPrefix(text, "[") {
		return "", false
	}
	end := strings.LastIndexByte(text, ']')
	if end < 0 {
		return "", false
	}
	return strings.TrimSpace(text[1:end]), true
}

func keyName(text string) (string, bool) {
	if text == "" || text[0] == '#' || text[0] == ';' {
		return "", false
	}
	key, _, ok := strings.Cut(text, "=")
	return strings.Trim(strings.TrimSpace(key), "\"`"), ok
}
