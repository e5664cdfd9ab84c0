package statement

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

var (
	verbWords        = []string{"show", "explain", "declare", "drain", "restore", "remove", "forbid", "release", "withdraw"}
	fileWords        = []string{"declare"}
	clauseWords      = []string{"where", "and", "columns", "sort", "limit"}
	serviceItemWords = []string{"floor", "policy", "prefer", "route"}
	routeItemWords   = []string{"class", "timeout", "first_byte", "priority", "retry", "fail"}
)

// nodeDescriptions maps the names that participle gives to grammar nodes to descriptions for operators.
var nodeDescriptions = map[string]string{
	"WordNode":      "a word",
	"PathNode":      `a path in quotes, such as "/proofs"`,
	"OperatorNode":  "one of = != < <= > >= ~",
	"ConditionNode": "a condition",
	"PolicyNode":    "huon, dala or default",
}

// expectedWords lists what the grammar allows at the position of the error. The parser reports only one of several
// alternatives, so where several words are possible they are derived from the preceding token and the block depth.
// verbs are the words that may begin the text.
func expectedWords(text string, verbs []string, err *participle.UnexpectedTokenError) []string {
	previous, depth := tokenBefore(text, err.Unexpected.Pos.Offset)
	atItem := previous == "{" || previous == ";" || previous == "}"
	switch {
	case previous == "":
		return verbs
	case previous == "show":
		return kindNames()
	case depth == 0 && previous == "}":
		return expectedAfterBlock(verbs)
	case depth == 1 && atItem:
		return append(serviceItemWords[:len(serviceItemWords):len(serviceItemWords)], "}")
	case depth == 2 && atItem:
		return append(routeItemWords[:len(routeItemWords):len(routeItemWords)], "}")
	case err.Message() == messageWithoutExpected(err) && strings.HasPrefix(strings.TrimSpace(text), "show"):
		return clauseWords
	}
	return firstExpected(err)
}

// expectedAfterBlock returns what may follow a complete block: another block in a file, the end in a single statement.
func expectedAfterBlock(verbs []string) []string {
	if len(verbs) == len(fileWords) {
		return fileWords
	}
	return []string{"the end of the statement"}
}

// messageWithoutExpected returns the message of a parser error that reports no expected token.
func messageWithoutExpected(err *participle.UnexpectedTokenError) string {
	return (&participle.UnexpectedTokenError{Unexpected: err.Unexpected}).Message()
}

// tokenBefore returns the last token before the offset and the number of blocks that are open at the offset.
func tokenBefore(text string, offset int) (previous string, depth int) {
	lex, err := statementLexer.LexString("", text)
	if err != nil {
		return "", 0
	}
	symbols := statementLexer.Symbols()
	for {
		token, err := lex.Next()
		if err != nil || token.EOF() || token.Pos.Offset >= offset {
			return previous, depth
		}
		if token.Type == symbols["space"] || token.Type == symbols["comment"] {
			continue
		}
		previous = token.Value
		depth += depthChange(token)
	}
}

func depthChange(token lexer.Token) int {
	switch token.Value {
	case "{":
		return 1
	case "}":
		return -1
	}
	return 0
}

// firstExpected extracts the first expected keyword or node from the error message, because participle does not export
// the expected node. It returns nil if the message contains none that can be described.
func firstExpected(err *participle.UnexpectedTokenError) []string {
	_, expected, ok := strings.Cut(err.Message(), "(expected ")
	if !ok {
		return nil
	}
	first, _, _ := strings.Cut(strings.TrimSuffix(expected, ")"), " ")
	if literal, ok := strings.CutPrefix(first, `"`); ok {
		return []string{strings.TrimRight(literal, `"?*)`)}
	}
	if name, ok := nodeDescriptions[strings.Trim(first, "()?*")]; ok {
		return []string{name}
	}
	return nil
}
