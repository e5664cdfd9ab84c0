package statement

import (
	"cmp"
	"strconv"
	"strings"
)

// compareCells orders two cells of a column. An empty cell of a numeric column comes before all numbers.
func compareCells(column Column, a, b string) int {
	if !column.Numeric {
		return strings.Compare(a, b)
	}
	wholeA, errA := strconv.ParseInt(a, 10, 64)
	wholeB, errB := strconv.ParseInt(b, 10, 64)
	if errA == nil && errB == nil {
		return cmp.Compare(wholeA, wholeB)
	}
	return cmp.Compare(numberOf(a), numberOf(b))
}

// numberOf returns NaN for text that is no number; cmp.Compare puts NaN first.
func numberOf(cell string) float64 {
	value, err := strconv.ParseFloat(cell, 64)
	if err != nil {
		nan, _ := strconv.ParseFloat("nan", 64)
		return nan
	}
	return value
}
