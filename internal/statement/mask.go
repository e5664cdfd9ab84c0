package statement

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// looseToken matches the tokens of a text that need not be valid, line ends included.
var looseToken = regexp.MustCompile(`#[^\n]*|\n|"(?:\\.|[^"\\\n])*"?|[{};,]|[^\s{};,"]+`)

// secretSpan is a range of bytes that may be an API key in place of a key hash.
type secretSpan struct{ start, end int }

// keyScanner finds the words in place of key hashes. The text need not be valid, since errors show texts that are not.
type keyScanner struct {
	spans []secretSpan
	// depth is the number of open blocks.
	depth int
	// inAccount means that the next words belong to the declaration of an account.
	inAccount bool
	// inKeys means that the next words stand in place of key hashes, up to the end of the statement.
	inKeys bool
	// ended means that the list of keys was closed on this line. The rest of the line still counts, because an API key may contain ';'.
	ended bool
	// words are the words before, without comments.
	words []string
}

// keyWords are the words of the language that may follow "key" in a statement or an account.
var keyWords = []string{"add", "withdraw", "ejection", "key", "to", "from", "account", "rank", "rate", "burst", ";", ",", "{", "}"}

// secretSpans returns the words in place of key hashes that are not key hashes.
func secretSpans(text string) []secretSpan {
	scanner := new(keyScanner)
	for _, at := range looseToken.FindAllStringIndex(text, -1) {
		scanner.next(text[at[0]:at[1]], secretSpan{at[0], at[1]})
	}
	return scanner.spans
}

func (s *keyScanner) next(word string, span secretSpan) {
	if word == "\n" {
		s.inKeys = s.inKeys && !s.ended
		return
	}
	if s.inKeys && s.isSecret(word) {
		s.spans = append(s.spans, span)
	}
	if strings.HasPrefix(word, "#") {
		return
	}
	if s.beginsKeys(word) {
		s.inKeys, s.ended = true, false
	}
	if s.depth == 0 && s.last() == "withdraw" && word == "ejection" {
		s.inKeys = false
	}
	s.ended = s.ended || word == ";" || word == "}"
	switch word {
	case "{":
		s.depth++
	case "}":
		s.depth--
		s.inAccount = s.inAccount && s.depth > 0
	case "account":
		s.inAccount = s.inAccount || s.last() == "declare"
	}
	s.words = append(s.words, word)
}

// last returns the last word, empty before the first one.
func (s *keyScanner) last() string {
	if len(s.words) == 0 {
		return ""
	}
	return s.words[len(s.words)-1]
}

// beginsKeys reports whether key hashes, or what an operator takes for them, follow the word.
func (s *keyScanner) beginsKeys(word string) bool {
	resemblesKey := strings.Contains(strings.ToLower(word), "key")
	if s.depth > 0 {
		return s.depth == 1 && (word == "key" || s.inAccount && resemblesKey)
	}
	if s.beginsStatement(0) {
		return word == "add" || word == "withdraw"
	}
	return resemblesKey && (s.inAccount && s.last() != "account" || s.followsVerb())
}

// followsVerb reports whether the next word is the second one of a statement that is no question. Its verb may be a wrong one.
func (s *keyScanner) followsVerb() bool {
	return s.beginsStatement(1) && s.last() != "show" && s.last() != "explain"
}

// beginsStatement reports whether the next word, or the word that is back words before it, is the first of a statement.
func (s *keyScanner) beginsStatement(back int) bool {
	before := len(s.words) - 1 - back
	return before < 0 || slices.Contains([]string{";", "}"}, s.words[before])
}

// isSecret reports whether a word in place of a key hash is neither a key hash nor another part of the statement.
func (s *keyScanner) isSecret(word string) bool {
	if slices.Contains(keyWords, word) {
		return false
	}
	if _, err := parseKeyHash(strings.Trim(word, `"`)); err == nil {
		return false
	}
	switch s.last() {
	case "account":
		return !s.followsAccount()
	case "rank", "rate", "burst":
		_, err := strconv.ParseFloat(word, 64)
		return err != nil
	}
	return true
}

// followsAccount reports whether the last words introduce the account of a command.
func (s *keyScanner) followsAccount() bool {
	before := s.words[max(len(s.words)-2, 0)]
	return s.depth == 0 && (before == "to" || before == "from")
}

// maskKeys replaces each character of the words that may be API keys by '*'.
func maskKeys(text string) string {
	var masked strings.Builder
	end := 0
	for _, span := range secretSpans(text) {
		masked.WriteString(text[end:span.start])
		masked.WriteString(strings.Repeat("*", utf8.RuneCountInString(text[span.start:span.end])))
		end = span.end
	}
	masked.WriteString(text[end:])
	return masked.String()
}

// isSecretAt reports whether the byte at the offset may belong to an API key.
func isSecretAt(text string, offset int) bool {
	return slices.ContainsFunc(secretSpans(text), func(span secretSpan) bool { return span.start <= offset && offset < span.end })
}
