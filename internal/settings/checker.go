package settings

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// checker collects the faults of one file.
type checker struct {
	file   string
	lines  map[string]int
	faults []Fault
}

var loadOptions = ini.LoadOptions{
	IgnoreContinuation:          true,
	IgnoreInlineComment:         true,
	KeyValueDelimiters:          "=",
	UnescapeValueDoubleQuotes:   false,
	UnescapeValueCommentSymbols: false,
}

func (c *checker) check(data []byte) *Settings {
	if len(data) > maxFileBytes {
		c.add(0, "file", fmt.Sprintf("%d bytes are too many", len(data)), fmt.Sprintf("at most %d bytes", maxFileBytes))
		return nil
	}
	c.index(scanLines(data))
	file, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		c.addSyntax(data, err)
		return nil
	}
	s := new(Settings)
	c.readAll(file, s)
	c.checkCombinations(s)
	return s
}

// index records the line of each section and key, and reports duplicates and unknown names.
func (c *checker) index(found []position) {
	c.lines = make(map[string]int, len(found))
	for _, p := range found {
		label := keyLabel(p.section, p.key)
		if first, ok := c.lines[label]; ok {
			c.add(p.line, label, fmt.Sprintf("duplicates line %d", first), "each section and key once")
			continue
		}
		c.lines[label] = p.line
		c.checkKnown(p, label)
	}
}

func (c *checker) checkKnown(p position, label string) {
	keys, ok := schema[p.section]
	switch {
	case p.section == "":
		c.add(p.line, label, "appears before the first section", "one of the sections "+strings.Join(sectionNames(), ", "))
	case !ok && p.key == "":
		c.add(p.line, label, "unknown section", "one of "+strings.Join(sectionNames(), ", "))
	case ok && p.key != "":
		if _, known := keys[p.key]; !known {
			c.add(p.line, label, "unknown key", "one of "+strings.Join(keyNames(p.section), ", "))
		}
	}
}

func (c *checker) readAll(file *ini.File, s *Settings) {
	for _, section := range sectionNames() {
		for _, key := range keyNames(section) {
			c.readKey(file.Section(section), section, key, s)
		}
	}
}

func (c *checker) readKey(from *ini.Section, section, key string, s *Settings) {
	spec := schema[section][key]
	label := keyLabel(section, key)
	text := spec.defaultText
	if from.HasKey(key) {
		text = from.Key(key).Value()
	} else if !spec.optional {
		wrong := spec.read(new(Settings), "")
		c.add(c.lines[keyLabel(section, "")], label, "is missing", wrong.valid)
		return
	}
	if wrong := spec.read(s, text); wrong != nil {
		c.add(c.lines[label], label, wrong.text, wrong.valid)
	}
}

var syntaxLine = regexp.MustCompile(`line (\d+)`)

// addSyntax reports a line that is neither a section, a key nor a comment.
func (c *checker) addSyntax(data []byte, err error) {
	line := firstBadLine(data)
	if match := syntaxLine.FindStringSubmatch(err.Error()); match != nil {
		line, _ = strconv.Atoi(match[1])
	}
	c.add(line, "syntax", "the line is not an INI line", "[section], key = value, or a comment that begins with # or ;")
}

// firstBadLine returns the first line without a section, key or comment, 0 if there is none.
func firstBadLine(data []byte) int {
	for i, raw := range strings.Split(string(data), "\n") {
		text := strings.TrimSpace(raw)
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		_, header := headerName(text)
		key, ok := keyName(text)
		if !header && (!ok || key == "") {
			return i + 1
		}
	}
	return 0
}

func (c *checker) add(line int, key, problem, valid string) {
	c.faults = append(c.faults, Fault{File: c.file, Line: line, Key: key, Problem: problem, Valid: valid})
}

func keyLabel(section, key string) string {
	if key == "" {
		return "[" + section + "]"
	}
	return "[" + section + "] " + key
}
