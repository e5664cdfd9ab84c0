package statement

import (
	"cmp"
	"strconv"
	"strings"
)

// compareCells compares two cells of a column. In a numeric column an empty cell sorts before all numbers. Integers are
// compared without conversion to floating point, which would lose digits above 2^53.
func compareCells(column Column, a, b string) int {
	if !column.Numeric {
		return strings.Compare(a, b)
	}
	integerA, errA := strconv.ParseInt(a, 10, 64)
	integerB, errB := strconv.ParseInt(b, 10, 64)
	if errA == nil && errB == nil {
		return cmp.Compare(integerA, integerB)
	}
	return cmp.Compare(parseNumber(a), parseNumber(b))
}

// parseNumber returns NaN for a cell that is not a number, because cmp.Compare sorts NaN first.
func parseNumber(cell string) float64 {
	value, err := strconv.ParseFloat(cell, 64)
	if err != nil {
		nan, _ := strconv.ParseFloat("nan", 64)
		return nan
	}
	return value
}
