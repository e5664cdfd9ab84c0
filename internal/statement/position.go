package statement

import (
	"fmt"

	"github.com/alecthomas/participle/v2/lexer"
)

// Position is a position in a text. Line and Column start at 1; Column counts characters, not bytes.
type Position struct {
	Line   int
	Column int
}

// String returns the position as errors name it.
func (p Position) String() string { return fmt.Sprintf("line %d column %d", p.Line, p.Column) }

func positionOf(pos lexer.Position) Position { return Position{Line: pos.Line, Column: pos.Column} }
