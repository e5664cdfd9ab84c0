package statement

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/pkg/errors"
)

// syntaxErrors converts an error of the participle parser to Errors. verbs are the words that may begin the text.
func syntaxErrors(text string, verbs []string, err error) Errors {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		return Errors{unexpectedToken(text, verbs, unexpected)}
	}
	var positioned participle.Error
	if !errors.As(err, &positioned) {
		return Errors{{Line: 1, Column: 1, Message: err.Error()}}
	}
	position := positioned.Position()
	return Errors{{Line: max(position.Line, 1), Column: max(position.Column, 1), Message: lexicalMessage(text, position.Offset)}}
}

// lexicalMessage describes the character at offset, at which no token can start.
func lexicalMessage(text string, offset int) string {
	if offset >= len(text) {
		return "the text ends too early"
	}
	if isSecretAt(text, offset) {
		return errNotKeyHash.Error()
	}
	if text[offset] == '"' {
		return `a string is not closed; end it with '"' on the same line`
	}
	character, _ := utf8.DecodeRuneInString(text[offset:])
	return fmt.Sprintf("unexpected character %q", character)
}

// unexpectedToken returns the error for a token that the grammar does not allow, with the tokens that it allows there.
func unexpectedToken(text string, verbs []string, err *participle.UnexpectedTokenError) *Error {
	token := err.Unexpected
	if isSecretAt(text, token.Pos.Offset) {
		return &Error{Line: token.Pos.Line, Column: token.Pos.Column, Message: errNotKeyHash.Error()}
	}
	found := fmt.Sprintf("unexpected %q", token.Value)
	if token.EOF() {
		found = "the text ends too early"
	}
	expected := expectedWords(text, verbs, err)
	message := found
	if len(expected) > 0 {
		message += "; expected " + strings.Join(expected, ", ")
	}
	suggestion, _ := Suggest(token.Value, expected)
	if len(expected) == 0 {
		suggestion, _ = Suggest(token.Value, keywords)
	}
	return &Error{Line: max(token.Pos.Line, 1), Column: max(token.Pos.Column, 1), Message: message, Suggestion: suggestion}
}
