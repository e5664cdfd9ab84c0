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

// nodeNames gives the names of grammar nodes in the words of the language.
var nodeNames = map[string]string{
	"WordNode":      "a word",
	"PathNode":      `a path in quotes, such as "/proofs"`,
	"OperatorNode":  "one of = != < <= > >= ~",
	"ConditionNode": "a condition",
	"PolicyNode":    "huon, dala or default",
}

// expectedWords lists what may stand at the place of the fault. The parser names one of several alternatives only, so
// the place in the text decides where several words are possible. verbs are the words that may begin the text.
func expectedWords(text string, verbs []string, err *participle.UnexpectedTokenError) []string {
	previous, depth := before(text, err.Unexpected.Pos.Offset)
	atItem := previous == "{" || previous == ";" || previous == "}"
	switch {
	case previous == "":
		return verbs
	case previous == "show":
		return kindNames()
	case depth == 0 && previous == "}":
		return afterBlock(verbs)
	case depth == 1 && atItem:
		return append(serviceItemWords[:len(serviceItemWords):len(serviceItemWords)], "}")
	case depth == 2 && atItem:
		return append(routeItemWords[:len(routeItemWords):len(routeItemWords)], "}")
	case err.Message() == bareMessage(err) && strings.HasPrefix(strings.TrimSpace(text), "show"):
		return clauseWords
	}
	return leadingExpectation(err)
}

// afterBlock returns what may follow a whole block: another block in a file, nothing after a statement.
func afterBlock(verbs []string) []string {
	if len(verbs) == len(fileWords) {
		return fileWords
	}
	return []string{"the end of the statement"}
}

func bareMessage(err *participle.UnexpectedTokenError) string {
	return (&participle.UnexpectedTokenError{Unexpected: err.Unexpected}).Message()
}

// before returns the last token before the offset and the number of blocks that are open there.
func before(text string, offset int) (previous string, depth int) {
	lex, err := tokens.LexString("", text)
	if err != nil {
		return "", 0
	}
	symbols := tokens.Symbols()
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

// leadingExpectation returns the first thing that the parser expected.
func leadingExpectation(err *participle.UnexpectedTokenError) []string {
	_, expected, ok := strings.Cut(err.Message(), "(expected ")
	if !ok {
		return nil
	}
	first, _, _ := strings.Cut(strings.TrimSuffix(expected, ")"), " ")
	if literal, ok := strings.CutPrefix(first, `"`); ok {
		return []string{strings.TrimRight(literal, `"?*)`)}
	}
	if name, ok := nodeNames[strings.Trim(first, "()?*")]; ok {
		return []string{name}
	}
	return nil
}
