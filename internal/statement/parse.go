package statement

import (
	"fmt"

	"github.com/alecthomas/participle/v2"
)

// maxTextBytes is the size limit of one text. The declarations of 120,000 routes need a few files of this size.
const maxTextBytes = 8 << 20

var (
	statementParser = participle.MustBuild[statementNode](participle.Lexer(statementLexer))
	fileParser      = participle.MustBuild[fileNode](participle.Lexer(statementLexer))
)

// Parse parses a single statement. A non-nil error is always of type Errors.
func Parse(text string) (Statement, error) {
	if err := checkSize(text); err != nil {
		return nil, err
	}
	node, err := statementParser.ParseString("", text)
	if err != nil {
		return nil, syntaxErrors(text, verbWords, err)
	}
	b := new(builder)
	statement := b.statement(node)
	if len(b.errors) > 0 {
		return nil, b.sortedErrors()
	}
	return statement, nil
}

// ParseDeclarations parses a file of declarations and returns them in file order. A non-nil error is always of type
// Errors.
func ParseDeclarations(text string) ([]Declaration, error) {
	if err := checkSize(text); err != nil {
		return nil, err
	}
	node, err := fileParser.ParseString("", text)
	if err != nil {
		return nil, syntaxErrors(text, fileWords, err)
	}
	b := new(builder)
	declarations := b.file(node)
	if len(b.errors) > 0 {
		return nil, b.sortedErrors()
	}
	return declarations, nil
}

func checkSize(text string) error {
	if len(text) <= maxTextBytes {
		return nil
	}
	message := fmt.Sprintf("the text has %d bytes, over the limit of %d; split it by service", len(text), maxTextBytes)
	return Errors{{Line: 1, Column: 1, Message: message}}
}
