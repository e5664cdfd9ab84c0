package fakestore_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/store"
)

// Guards against a control endpoint that returns success without any effect, or accepts misspelled faults.
func TestControl(t *testing.T) {
	s := fakestore.New(fakestore.Options{})
	control := fakestore.ControlHandler(s)
	call := func(method, path, body string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		control.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
		return recorder
	}
	if call(http.MethodPut, "/faults", `{"down": true}`); !s.Faults().Down {
		t.Error("the fault was not set")
	}
	if _, err := s.Get(t.Context(), "a"); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("read from a store that is down: %v", err)
	}
	if code := call(http.MethodPut, "/faults", `{"dwon": true}`).Code; code != http.StatusBadRequest {
		t.Errorf("misspelled fault: status %d", code)
	}
	if body := call(http.MethodGet, "/counts", "").Body.String(); strings.TrimSpace(body) != `{"get":1}` {
		t.Errorf("counts: %s", body)
	}
	call(http.MethodPut, "/faults", `{}`)
	_, _ = s.CompareAndSwap(t.Context(), "a", 0, nil, 0)
	call(http.MethodPost, "/compact", "")
	if _, _, err := s.Watch(t.Context(), "", 0, 0); !errors.Is(err, store.ErrCompacted) {
		t.Errorf("watch after compaction: %v", err)
	}
}
