package upstream

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// faultOf returns the fault of a head that is read in pieces of the given length.
func faultOf(answer string, piece int) error {
	check := new(headCheck)
	check.reset()
	for rest := answer; rest != ""; rest = rest[min(piece, len(rest)):] {
		check.read([]byte(rest[:min(piece, len(rest))]))
	}
	return check.fault()
}

// Guards against a check whose result depends on how the bytes of a head are divided among reads, or that accepts a head which
// http.Transport reads with another status.
func FuzzHeadCheck(f *testing.F) {
	for _, broken := range brokenHeads {
		f.Add(fmt.Sprintf(broken.answer, notRunFields))
	}
	for _, proper := range properHeads {
		f.Add(proper.answer)
	}
	f.Fuzz(func(t *testing.T, answer string) {
		whole, bytewise := faultOf(answer, len(answer)), faultOf(answer, 1)
		if fmt.Sprint(whole) != fmt.Sprint(bytewise) {
			t.Errorf("fault %v in one piece, %v byte by byte: %q", whole, bytewise, answer)
		}
		if whole != nil {
			return
		}
		res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), nil)
		if err == nil && (res.StatusCode < http.StatusContinue || res.StatusCode > maxStatus) {
			t.Errorf("status %d is accepted: %q", res.StatusCode, answer)
		}
	})
}
