package statement

import (
	"strings"

	"github.com/alecthomas/participle/v2"
)

var (
	verbWords        = []string{"show", "explain", "declare", "drain", "restore", "remove", "forbid", "release", "withdraw", "add"}
	fileWords        = []string{"declare"}
	clauseWords      = []string{"where", "and", "columns", "sort", "limit"}
	serviceItemWords = []string{"floor", "policy", "prefer", "route"}
	accountItemWords = []string{"key", "rank", "rate"}
	routeItemWords   = []string{"class", "timeout", "first_byte", "priority", "retry", "fail", "requires"}
)

// wordsAfter lists what may follow a verb that several statements share.
var wordsAfter = map[string][]string{
	"declare":  {"service", "account"},
	"remove":   {"service", "account"},
	"withdraw": {"ejection", "key"},
}

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
	before := placeOf(text, err.Unexpected.Pos.Offset)
	switch {
	case before.previous == "":
		return verbs
	case before.previous == "show":
		return kindNames()
	case before.depth == 0 && wordsAfter[before.previous] != nil:
		return wordsAfter[before.previous]
	case before.depth == 0 && before.previous == "}":
		return expectedAfterBlock(verbs)
	case before.isItem():
		return append(before.itemWords(), "}")
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
