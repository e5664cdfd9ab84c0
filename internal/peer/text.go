package peer

import (
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// byteTextMark begins an encoded string. HTTP allows the character in none of the encoded fields.
const byteTextMark = "\x00"

// encodeText returns a form of s that is valid UTF-8, as strings of the protocol must be. HTTP allows other bytes in header
// values and paths. Each byte of such a string becomes the character with its number, after byteTextMark.
func encodeText(s string) string {
	if utf8.ValidString(s) {
		return s
	}
	var b strings.Builder
	b.WriteString(byteTextMark)
	for i := range len(s) {
		b.WriteRune(rune(s[i]))
	}
	return b.String()
}

// decodeText is the inverse of encodeText.
func decodeText(s string) string {
	encoded, ok := strings.CutPrefix(s, byteTextMark)
	if !ok {
		return s
	}
	decoded := make([]byte, 0, len(encoded))
	for _, r := range encoded {
		decoded = append(decoded, byte(r))
	}
	return string(decoded)
}

// encodeForwardHead returns the head in the form that is sent. It copies a head that has to be changed.
func encodeForwardHead(head *peerv1.ForwardHead) *peerv1.ForwardHead {
	if utf8.ValidString(head.Uri) && utf8.ValidString(head.Host) && utf8.ValidString(head.RequestId) && allValid(head.Headers) {
		return head
	}
	encoded := proto.Clone(head).(*peerv1.ForwardHead)
	for _, field := range []*string{&encoded.Uri, &encoded.Host, &encoded.RequestId} {
		*field = encodeText(*field)
	}
	encodeHeaders(encoded.Headers)
	return encoded
}

// decodeForwardHead decodes a received head in place.
func decodeForwardHead(head *peerv1.ForwardHead) {
	for _, field := range []*string{&head.Uri, &head.Host, &head.RequestId} {
		*field = decodeText(*field)
	}
	decodeHeaders(head.Headers)
}

// encodeAnswerHead returns the head in the form that is sent. It copies a head that has to be changed.
func encodeAnswerHead(head *peerv1.AnswerHead) *peerv1.AnswerHead {
	if head == nil || allValid(head.Headers) {
		return head
	}
	encoded := proto.Clone(head).(*peerv1.AnswerHead)
	encodeHeaders(encoded.Headers)
	return encoded
}

// decodeAnswerHead decodes a received head in place.
func decodeAnswerHead(head *peerv1.AnswerHead) { decodeHeaders(head.GetHeaders()) }

func allValid(headers []*peerv1.Header) bool {
	for _, h := range headers {
		if !utf8.ValidString(h.Value) {
			return false
		}
	}
	return true
}

func encodeHeaders(headers []*peerv1.Header) {
	for _, h := range headers {
		h.Value = encodeText(h.Value)
	}
}

func decodeHeaders(headers []*peerv1.Header) {
	for _, h := range headers {
		h.Value = decodeText(h.Value)
	}
}

// maxDetailBytes bounds the detail of a trailer, which may quote what an upstream sent.
const maxDetailBytes = 1024

// boundDetail returns the beginning of a detail, with a replacement character for each byte that is not valid UTF-8.
func boundDetail(detail string) string {
	return strings.ToValidUTF8(detail[:min(len(detail), maxDetailBytes)], string(utf8.RuneError))
}
