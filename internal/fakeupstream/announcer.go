package fakeupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// announceTimeout limits one announcement.
const announceTimeout = 2 * time.Second

// announcer sends the upstream's state to its node.
type announcer struct {
	url    string
	client *http.Client
}

func newAnnouncer(node string) *announcer {
	return &announcer{url: "http://" + node + announcePath, client: &http.Client{Timeout: announceTimeout}}
}

// send sends one announcement and returns the phase that the node accepted.
func (a *announcer) send(ctx context.Context, body announcement) (string, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return "", errors.Wrap(err, "announcement")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.url, bytes.NewReader(data))
	if err != nil {
		return "", errors.Wrap(err, "announcement")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return "", errors.Wrap(err, "announcement")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", errors.Errorf("announcement: status %d", response.StatusCode)
	}
	var answer announceAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return "", errors.Wrap(err, "announcement")
	}
	return answer.Phase, nil
}
