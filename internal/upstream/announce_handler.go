package upstream

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 4 << 10

// AnnounceHandler serves POST /v1/announce. accept is called with each valid announcement and returns an error
// if the node does not accept it.
func AnnounceHandler(accept func(Announcement) error) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", func(w http.ResponseWriter, r *http.Request) {
		var a Announcement
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
		if err := decoder.Decode(&a); err != nil {
			http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
			return
		}
		if err := a.Validate(); err != nil {
			http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
			return
		}
		err := accept(a)
		if errors.Is(err, ErrRepeat) {
			http.Error(w, "announcement: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		if err != nil {
			http.Error(w, "announcement: "+err.Error(), http.StatusConflict)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The upstream sends its announcement again, so a lost response needs no handling.
		_ = json.NewEncoder(w).Encode(announceAnswer{Phase: a.Phase})
	})
	return mux
}

type announceAnswer struct {
	Phase string `json:"phase"`
}
