package admission

// Header is one header of an answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is the complete response of an upstream. It is never changed after it was handed over.
type Answer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
}

// Size returns the bytes that the answer takes in memory, without the fixed part.
func (a *Answer) Size() int64 {
	size := len(a.Body)
	for _, header := range a.Headers {
		size += len(header.Name) + len(header.Value)
	}
	return int64(size)
}
