package statement

import (
	"slices"

	"github.com/alecthomas/participle/v2/lexer"
)

// place is what precedes a position in a text.
type place struct {
	// previous is the last token before the position, empty at the beginning of the text.
	previous string
	// depth is the number of blocks that are open at the position.
	depth int
	// kind is "service" or "account", whichever the last block declares.
	kind string
}

// placeOf returns the place at a byte offset of the text.
func placeOf(text string, offset int) place {
	lex, err := statementLexer.LexString("", text)
	if err != nil {
		return place{}
	}
	symbols := statementLexer.Symbols()
	var at place
	for {
		token, err := lex.Next()
		if err != nil || token.EOF() || token.Pos.Offset >= offset {
			return at
		}
		if token.Type == symbols["space"] || token.Type == symbols["comment"] {
			continue
		}
		if at.depth == 0 && at.previous == "declare" {
			at.kind = token.Value
		}
		at.previous = token.Value
		at.depth += depthChange(token)
	}
}

// isItem reports whether a setting of a block may begin at the place.
func (p place) isItem() bool {
	return (p.depth == 1 || p.depth == 2) && slices.Contains([]string{"{", ";", "}"}, p.previous)
}

// itemWords returns the first words of the settings of the block.
func (p place) itemWords() []string {
	switch {
	case p.depth == 2:
		return slices.Clone(routeItemWords)
	case p.kind == "account":
		return slices.Clone(accountItemWords)
	}
	return slices.Clone(serviceItemWords)
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
