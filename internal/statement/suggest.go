package statement

// Suggest returns the valid word with the smallest edit distance to word. It returns false if no valid word is within a
// distance of a third of the length of word, plus one.
func Suggest(word string, valid []string) (string, bool) {
	best := ""
	bestDistance := len(word)/3 + 2
	for _, candidate := range valid {
		distance := editDistance(word, candidate)
		if distance < bestDistance && distance < len(candidate) {
			best, bestDistance = candidate, distance
		}
	}
	return best, best != ""
}

// maxSuggestBytes limits the length of the compared words, because the run time grows with the product of their lengths.
const maxSuggestBytes = 64

// editDistance returns the number of insertions, deletions, replacements and transpositions of adjacent bytes that turn
// a into b. It returns maxSuggestBytes if one of them is longer than that.
func editDistance(a, b string) int {
	if len(a) > maxSuggestBytes || len(b) > maxSuggestBytes {
		return maxSuggestBytes
	}
	rows := make([][]int, len(a)+1)
	for i := range rows {
		rows[i] = make([]int, len(b)+1)
		rows[i][0] = i
	}
	for j := range rows[0] {
		rows[0][j] = j
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			rows[i][j] = cheapestEdit(rows, a, b, i, j)
		}
	}
	return rows[len(a)][len(b)]
}

func cheapestEdit(rows [][]int, a, b string, i, j int) int {
	replace := rows[i-1][j-1]
	if a[i-1] != b[j-1] {
		replace++
	}
	best := min(replace, rows[i-1][j]+1, rows[i][j-1]+1)
	if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
		best = min(best, rows[i-2][j-2]+1)
	}
	return best
}
