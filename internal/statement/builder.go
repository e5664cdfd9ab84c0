package statement

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/sardinereach/sardinereach/internal/model"
)

// builder turns grammar nodes into statements and collects the faults that the grammar does not exclude.
type builder struct {
	errors Errors
}

func (b *builder) fail(at lexer.Position, format string, args ...any) {
	b.errors = append(b.errors, &Error{Line: at.Line, Column: at.Column, Message: fmt.Sprintf(format, args...)})
}

// failWord reports a word outside a fixed set, with the set and the nearest word of it.
func (b *builder) failWord(at lexer.Position, what, word string, valid []string) {
	b.fail(at, "unknown %s %q; use %s", what, word, strings.Join(valid, ", "))
	b.errors[len(b.errors)-1].Suggestion, _ = Suggest(word, valid)
}

// text returns the word without quotes.
func (b *builder) text(word wordNode) string {
	if !strings.HasPrefix(word.Text, `"`) {
		return word.Text
	}
	plain, err := strconv.Unquote(word.Text)
	if err != nil {
		b.fail(word.Pos, "the string %s has an invalid escape sequence", word.Text)
	}
	return plain
}

// name returns a word that must not be empty.
func (b *builder) name(word wordNode, what string) string {
	plain := b.text(word)
	if plain == "" {
		b.fail(word.Pos, "the %s is empty", what)
	}
	return plain
}

func (b *builder) statement(node *statementNode) Statement {
	switch {
	case node.Show != nil:
		return b.show(node.Show)
	case node.Explain != nil:
		return b.explain(node.Explain)
	case node.Declare != nil:
		return &Declare{Declaration: b.declaration(node.Declare)}
	case node.Drain != nil:
		return &Drain{Target: b.target(node.Drain.Target), Force: node.Drain.Force}
	case node.Restore != nil:
		return &Restore{Target: b.target(node.Restore.Target)}
	case node.Remove != nil:
		return &Remove{Service: model.ServiceName(b.name(node.Remove.Service, "service")), Force: node.Remove.Force}
	case node.Forbid != nil:
		return &Forbid{Fingerprint: b.name(node.Forbid.Fingerprint, "fingerprint")}
	case node.Release != nil:
		return &Release{Fingerprint: b.name(node.Release.Fingerprint, "fingerprint")}
	default:
		return &Withdraw{Target: b.target(node.Withdraw.Target)}
	}
}

func (b *builder) target(word wordNode) model.TargetID {
	return model.TargetID(b.name(word, "target"))
}

func (b *builder) explain(node *explainNode) *Explain {
	explain := &Explain{Method: b.method(node.Method.Pos, b.text(node.Method)), Path: b.text(node.Path)}
	if !strings.HasPrefix(explain.Path, "/") {
		b.fail(node.Path.Pos, "the path %q does not begin with '/'", explain.Path)
	}
	if node.Host != nil {
		explain.Host = b.name(*node.Host, "host")
	}
	return explain
}

// method checks the form of a method, which is upper-case letters and '-'.
func (b *builder) method(at lexer.Position, method string) string {
	for _, c := range method {
		if (c < 'A' || c > 'Z') && c != '-' {
			b.fail(at, "the method %q is not in upper-case letters", method)
			return method
		}
	}
	if method == "" {
		b.fail(at, "the method is empty")
	}
	return method
}
