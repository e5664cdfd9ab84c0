package peer

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// Guards against a frame that is decoded in another way than by the protobuf library.
func FuzzFrameEncoding(f *testing.F) {
	for _, frame := range []*peerv1.AnswerFrame{
		{}, {Body: []byte("piece")}, {Body: []byte("piece"), Overdue: true},
		{Head: &peerv1.AnswerHead{Status: 200}, Body: []byte{}}, {Trailer: &peerv1.AnswerTrailer{TotalBytes: 1}},
	} {
		data, err := proto.Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(append(data, data...))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e := &frameEncoding{piece: []byte("an earlier piece")}
		got, want := new(peerv1.AnswerFrame), new(peerv1.AnswerFrame)
		err, wantErr := e.Unmarshal(data, got), proto.Unmarshal(data, want)
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("error %v, the library returns %v", err, wantErr)
		}
		if err == nil && !proto.Equal(got, want) {
			t.Fatalf("decoded %v, the library returns %v", got, want)
		}
	})
}

// Guards against an allocation for each piece of a large response.
func TestPiecesOfAResponseShareMemory(t *testing.T) {
	data, err := proto.Marshal(&peerv1.AnswerFrame{Body: bytes.Repeat([]byte("x"), 32<<10)})
	if err != nil {
		t.Fatal(err)
	}
	e, frame := new(frameEncoding), new(peerv1.AnswerFrame)
	if err := e.Unmarshal(data, frame); err != nil {
		t.Fatal(err)
	}
	allocations := testing.AllocsPerRun(100, func() { _ = e.Unmarshal(data, frame) })
	if allocations != 0 {
		t.Errorf("%v allocations for a piece, want none", allocations)
	}
}
