package statement

import "strings"

// Operator compares a cell with a value.
type Operator string

// Operators. Contains applies only to text columns. The others compare numeric columns as numbers.
const (
	Equal          Operator = "="
	NotEqual       Operator = "!="
	Less           Operator = "<"
	LessOrEqual    Operator = "<="
	Greater        Operator = ">"
	GreaterOrEqual Operator = ">="
	Contains       Operator = "~"
)

// Condition is a comparison of a column with a value.
type Condition struct {
	Column   string
	Operator Operator
	Value    string
}

// matchesCell reports whether a cell of the column satisfies the condition.
func (c Condition) matchesCell(column Column, cell string) bool {
	if c.Operator == Contains {
		return strings.Contains(cell, c.Value)
	}
	order := compareCells(column, cell, c.Value)
	switch c.Operator {
	case Equal:
		return order == 0
	case NotEqual:
		return order != 0
	case Less:
		return order < 0
	case LessOrEqual:
		return order <= 0
	case Greater:
		return order > 0
	case GreaterOrEqual:
		return order >= 0
	}
	return false
}
