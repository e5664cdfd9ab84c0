package fakeupstream

// announcePath is the path of the announce protocol on the node's announce listener.
const announcePath = "/v1/announce"

// announcement is the body of POST /v1/announce.
type announcement struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Address is host:port for requests.
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Phase   string `json:"phase"`
	// Load is between 0 and 1.
	Load    float64 `json:"load"`
	Crashes int     `json:"crashes"`
}

// announceAnswer is the body of the node's response.
type announceAnswer struct {
	// Phase is the phase that the node has accepted.
	Phase string `json:"phase"`
}
