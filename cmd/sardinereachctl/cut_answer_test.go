package main

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/endlesstest"
)

// Guards against a part of an answer that is printed as a complete one with the exit code of a success.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	whole := &operatorv1.ExecuteResponse{
		Columns: []*operatorv1.Column{{Name: "service"}},
		Rows:    []*operatorv1.Row{{Cells: []string{"a"}}, {Cells: []string{"b"}}},
	}
	part := &operatorv1.ExecuteResponse{Columns: whole.Columns, Rows: whole.Rows[:1]}
	data, err := proto.Marshal(part)
	if err != nil {
		t.Fatal(err)
	}
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
	for name, answer := range map[string]string{
		"no length":          head + "\r\n" + string(data),
		"no bytes":           head + "\r\n",
		"length":             head + fmt.Sprintf("Content-Length: %d\r\n\r\n", proto.Size(whole)) + string(data),
		"chunks":             head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(data), data),
		"blank after length": head + fmt.Sprintf("Content-Length : %d\r\n\r\n", proto.Size(whole)) + string(data),
	} {
		var out, failure bytes.Buffer
		code := run([]string{"exec", "show services", "-server", endlesstest.Answer(t, answer)}, stdio{out: &out, err: &failure})
		if code != exitUnreachable || out.Len() != 0 {
			t.Errorf("%s: exit code %d, want %d; printed %q, %q", name, code, exitUnreachable, out.String(), failure.String())
		}
	}
}
