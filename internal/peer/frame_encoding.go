package peer

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// bodyField is the number of the field AnswerFrame.body.
var bodyField = (*peerv1.AnswerFrame)(nil).ProtoReflect().Descriptor().Fields().ByName("body").Number()

// frameEncoding decodes the frames of one response. It reuses the memory of a frame that has only a piece of the body, which is
// nearly every frame of a large response: the piece is valid until the next frame is decoded.
type frameEncoding struct {
	piece []byte
}

// Marshal implements drpc.Encoding.
func (e *frameEncoding) Marshal(message drpc.Message) ([]byte, error) {
	return proto.Marshal(message.(*peerv1.AnswerFrame))
}

// Unmarshal implements drpc.Encoding.
func (e *frameEncoding) Unmarshal(data []byte, message drpc.Message) error {
	frame := message.(*peerv1.AnswerFrame)
	piece, ok := pieceOnly(data)
	if !ok {
		return errors.Wrap(proto.Unmarshal(data, frame), "peer: frame")
	}
	e.piece = append(e.piece[:0], piece...)
	frame.Body = e.piece
	return nil
}

// pieceOnly returns the body of an encoded frame that has no other field, false for any other frame.
func pieceOnly(data []byte) ([]byte, bool) {
	number, kind, tagBytes := protowire.ConsumeTag(data)
	if tagBytes < 0 || number != bodyField || kind != protowire.BytesType {
		return nil, false
	}
	piece, pieceBytes := protowire.ConsumeBytes(data[tagBytes:])
	return piece, pieceBytes >= 0 && tagBytes+pieceBytes == len(data)
}
