package statement

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/sardinereach/sardinereach/internal/model"
)

// builder converts grammar nodes to statements. It collects the errors that the grammar cannot detect, so that one run
// reports all of them.
type builder struct {
	errors Errors
}

func (b *builder) addError(pos lexer.Position, format string, args ...any) {
	b.addErrorAt(positionOf(pos), format, args...)
}

func (b *builder) addErrorAt(place Position, format string, args ...any) {
	b.errors = append(b.errors, &Error{Line: place.Line, Column: place.Column, Message: fmt.Sprintf(format, args...)})
}

// sortedErrors returns the errors in text order.
func (b *builder) sortedErrors() Errors {
	slices.SortStableFunc(b.errors, func(x, y *Error) int {
		return cmp.Or(cmp.Compare(x.Line, y.Line), cmp.Compare(x.Column, y.Column))
	})
	return b.errors
}

// addUnknownWord adds an error for a word outside the valid set. The error lists the set and suggests its nearest word.
func (b *builder) addUnknownWord(pos lexer.Position, what, word string, valid []string) {
	b.addError(pos, "unknown %s %q; use %s", what, word, strings.Join(valid, ", "))
	b.errors[len(b.errors)-1].Suggestion, _ = Suggest(word, valid)
}

// unquote returns the text of a word, without the quotes and escape sequences of a string.
func (b *builder) unquote(word wordNode) string {
	if !strings.HasPrefix(word.Text, `"`) {
		return word.Text
	}
	unquoted, err := strconv.Unquote(word.Text)
	if err != nil {
		b.addError(word.Pos, "the string %s has an invalid escape sequence", word.Text)
	}
	return unquoted
}

// nonEmpty returns the unquoted word and adds an error if it is empty. what describes the word in the error.
func (b *builder) nonEmpty(word wordNode, what string) string {
	unquoted := b.unquote(word)
	if unquoted == "" {
		b.addError(word.Pos, "the %s is empty", what)
	}
	return unquoted
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
	case node.Add != nil:
		return &AddKey{Hash: b.keyHash(node.Add.Key), Account: b.accountName(node.Add.Account), Place: positionOf(node.Add.Account.Pos)}
	case node.Remove != nil:
		return b.remove(node.Remove)
	case node.Forbid != nil:
		return &Forbid{Fingerprint: b.nonEmpty(node.Forbid.Fingerprint, "fingerprint")}
	case node.Release != nil:
		return &Release{Fingerprint: b.nonEmpty(node.Release.Fingerprint, "fingerprint")}
	default:
		return b.withdraw(node.Withdraw)
	}
}

func (b *builder) remove(node *removeNode) Statement {
	if node.Account != nil {
		return &RemoveAccount{Account: b.accountName(*node.Account), Place: positionOf(node.Account.Pos), Force: node.Force}
	}
	return &Remove{Service: model.ServiceName(b.nonEmpty(*node.Service, "service")), Force: node.Force}
}

func (b *builder) withdraw(node *withdrawNode) Statement {
	if node.Key != nil {
		key := node.Key
		return &WithdrawKey{Hash: b.keyHash(key.Key), Account: b.accountName(key.Account), Place: positionOf(key.Account.Pos)}
	}
	return &Withdraw{Target: b.target(node.Ejection.Target)}
}

func (b *builder) target(word wordNode) model.TargetID {
	return model.TargetID(b.nonEmpty(word, "target"))
}

func (b *builder) explain(node *explainNode) *Explain {
	explain := &Explain{Method: b.method(node.Method.Pos, b.unquote(node.Method)), Path: b.unquote(node.Path)}
	if !strings.HasPrefix(explain.Path, "/") {
		b.addError(node.Path.Pos, "the path %q does not begin with '/'", explain.Path)
	}
	if node.Host != nil {
		explain.Host = b.nonEmpty(*node.Host, "host")
	}
	return explain
}

// method returns the method and adds an error unless it consists of upper-case letters and '-'.
func (b *builder) method(pos lexer.Position, method string) string {
	for _, c := range method {
		if (c < 'A' || c > 'Z') && c != '-' {
			b.addError(pos, "the method %q is not in upper-case letters", method)
			return method
		}
	}
	if method == "" {
		b.addError(pos, "the method is empty")
	}
	return method
}
