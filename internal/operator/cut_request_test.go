package operator_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/operator/fakefleet"
)

// cutRequestLimit ends a test that hangs.
const cutRequestLimit = 20 * time.Second

// Guards against a change that takes effect although only a part of its request has arrived.
func TestCutRequestsChangeNothing(t *testing.T) {
	data, err := proto.Marshal(&operatorv1.ApplyRequest{Declarations: proofroom, DryRun: true})
	if err != nil {
		t.Fatal(err)
	}
	// The part is a valid message, of a change that is no trial.
	part, err := proto.Marshal(&operatorv1.ApplyRequest{Declarations: proofroom})
	if err != nil {
		t.Fatal(err)
	}
	const path = "POST " + operatorv1.OperatorApplyProcedure + " HTTP/1.%d\r\nHost: h\r\nContent-Type: application/proto\r\n"
	start, start10 := fmt.Sprintf(path, 1), fmt.Sprintf(path, 0)
	length, chunked := fmt.Sprintf("Content-Length: %d\r\n", len(data)), "Transfer-Encoding: chunked\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	for name, c := range map[string]struct {
		request string
		// isCut means that the connection ends after the request. It stays open for the others, because its end cancels them.
		isCut, changes bool
	}{
		"whole":               {start + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(part), part), false, true},
		"cut in the body":     {start + length + "\r\n" + string(part), true, false},
		"cut after a chunk":   {start + chunked + "\r\n" + chunk, true, false},
		"cut in the end":      {start + chunked + "\r\n" + chunk + "0\r\n", true, false},
		"two lengths":         {start + length + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(part), part), false, false},
		"blank after length":  {start + fmt.Sprintf("Content-Length : %d\r\n\r\n%s", len(part), part), false, false},
		"no length":           {start + "\r\n" + string(part), false, false},
		"no length, HTTP/1.0": {start10 + "\r\n" + string(part), false, false},
		"chunks, HTTP/1.0":    {start10 + chunked + "\r\n" + chunk + "0\r\n\r\n", false, false},
	} {
		fleet := fakefleet.New()
		mux := http.NewServeMux()
		mux.Handle(newServer(fleet).Handler())
		listener := httptest.NewServer(mux)
		status := sendRequest(t, listener.Listener.Addr().String(), c.request, c.isCut)
		// Close waits for the handlers.
		listener.Close()
		if changed := fleet.Writes() > 0; changed != c.changes {
			t.Errorf("%s: status %d, changed %v", name, status, changed)
		}
	}
}

// sendRequest sends the bytes, ends the connection if the request is cut, and returns the status of the answer, 0 for none.
func sendRequest(t *testing.T, address, request string, isCut bool) int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(cutRequestLimit))
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	if isCut {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}
