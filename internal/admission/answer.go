package admission

// Header is one header field of a response.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is the complete response of an upstream. It is immutable once it is passed to Finish.
type Answer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
}

// Size returns the bytes of the body, header names and header values. The fixed overhead is not counted.
func (a *Answer) Size() int64 {
	size := len(a.Body)
	for _, header := range a.Headers {
		size += len(header.Name) + len(header.Value)
	}
	return int64(size)
}
