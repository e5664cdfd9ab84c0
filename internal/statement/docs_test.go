package statement_test

import (
	"os"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/statement"
)

// Guards against examples in docs/language.md that the parser rejects, and against documented errors that it does not
// return.
func TestDocs(t *testing.T) {
	page, err := os.ReadFile("../../docs/language.md")
	if err != nil {
		t.Fatal(err)
	}
	checks := map[string]func(*testing.T, string){
		"statements": checkStatements, "declarations": checkDeclarations, "error": checkErrorExample,
	}
	examples := make(map[string]int)
	for i, block := range strings.Split(string(page), "```") {
		if i%2 == 0 {
			continue
		}
		kind, text, _ := strings.Cut(block, "\n")
		check, ok := checks[kind]
		if !ok {
			t.Errorf("block of unknown kind %q", kind)
			continue
		}
		check(t, text)
		examples[kind]++
	}
	if examples["statements"] != 2 || examples["declarations"] != 1 || examples["error"] != 6 {
		t.Errorf("examples checked: %v", examples)
	}
}

func checkStatements(t *testing.T, text string) {
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		if _, err := statement.Parse(line); err != nil {
			t.Errorf("%s: %v", line, err)
		}
	}
}

// checkDeclarations checks that the example is valid and has the standard layout.
func checkDeclarations(t *testing.T, text string) {
	declarations, err := statement.ParseDeclarations(text)
	if err != nil {
		t.Error(err)
		return
	}
	_, body, _ := strings.Cut(text, "\n")
	if got := statement.Format(declarations...); got != body {
		t.Errorf("the example is formatted as\n%s", got)
	}
}

func checkErrorExample(t *testing.T, text string) {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	_, err := statement.Parse(lines[0])
	expectError(t, lines[0], err, strings.Join(lines[1:], ".*"))
}

// Guards against a table, setting or verb that docs/language.md does not mention.
func TestDocsMentionEverything(t *testing.T) {
	page, err := os.ReadFile("../../docs/language.md")
	if err != nil {
		t.Fatal(err)
	}
	words := []string{"at revision", "floor", "policy", "prefer", "route", "class", "timeout", "first_byte", "priority", "retry on", "fail on", "explain request", "requires key", "at digest", "key", "rank", "rate", "add key", "withdraw key", "remove account", "declare account"}
	for _, kind := range statement.Kinds() {
		words = append(words, string(kind))
	}
	for _, word := range words {
		if !strings.Contains(string(page), "`"+word) && !strings.Contains(string(page), "    "+word) {
			t.Errorf("docs/language.md does not mention %s", word)
		}
	}
}
