package statement

import "strings"

// Operator compares a cell with a value.
type Operator string

// Operators. Contains holds for text columns only; the ordering ones compare numeric columns as numbers.
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

// holds reports whether the cell of the column meets the condition.
func (c Condition) holds(column Column, cell string) bool {
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
