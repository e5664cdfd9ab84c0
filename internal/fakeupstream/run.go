package fakeupstream

// Run is one run of an operation. A second Run of the same operation is a duplicate.
type Run struct {
	Operation string `json:"operation"`
	Attempt   string `json:"attempt"`
	Target    string `json:"target"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Serial counts the runs of this process from 1.
	Serial int `json:"serial"`
}
