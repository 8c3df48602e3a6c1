// Package sillwire is the inner protocol between gateways and agents.
//
// A gateway keeps one QUIC connection to each agent of its subset. Each exchange
// uses a stream of its own, which the gateway opens with a frame. A frame is a
// one-byte type, a four-byte length in network byte order and a CBOR body.
package sillwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrameBytes bounds the body of one frame.
const MaxFrameBytes = 1 << 20

// MaxChunkBytes bounds the payload that senders put into one Chunk frame.
const MaxChunkBytes = 32 << 10

// headerBytes is the length of a frame's type and length fields.
const headerBytes = 5

// FrameError reports that a frame from a peer breaks the protocol.
type FrameError struct {
	// Reason is what was received and what was expected.
	Reason string
}

// Error returns the reason and the remedy.
func (e *FrameError) Error() string {
	return "malformed frame: " + e.Reason + "; check that both processes run the same release"
}

// ErrFrameTooLarge is the error for a message to be sent that exceeds MaxFrameBytes.
var ErrFrameTooLarge = errors.New("message larger than a frame: split it into chunks")

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	// The default truncates times to whole seconds.
	options.Time = cbor.TimeRFC3339NanoUTC
	m, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// The decoder's limits bound the memory that one frame can use.
const (
	maxArrayElements = 1 << 18
	maxMapPairs      = 1 << 12
	maxNesting       = 8
)

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Append appends a message to b as one frame. It returns ErrFrameTooLarge or an
// error of the encoder.
func Append(b []byte, m Message) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return b, fmt.Errorf("sillwire.Append: %w", err)
	}
	if len(body) > MaxFrameBytes {
		return b, ErrFrameTooLarge
	}
	// The peer would take the frame for malformed and end the exchange.
	if err := decMode.Wellformed(body); err != nil {
		return b, fmt.Errorf("sillwire.Append: a peer can't read the message: %w", err)
	}
	b = append(b, byte(m.frameType()))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	return append(b, body...), nil
}

// Write sends a message as one frame.
func Write(w io.Writer, m Message) error {
	b, err := Append(nil, m)
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

// Read receives one message. It returns io.EOF if the peer closed the stream
// between frames, and a *FrameError for a frame that breaks the protocol.
func Read(r io.Reader) (Message, error) {
	var h [headerBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, &FrameError{Reason: "the stream ends inside a frame's header"}
		}
		return nil, err
	}
	size := binary.BigEndian.Uint32(h[1:])
	if size > MaxFrameBytes {
		return nil, &FrameError{Reason: fmt.Sprintf("length %d exceeds %d", size, MaxFrameBytes)}
	}
	m := newMessage(frameType(h[0]))
	if m == nil {
		return nil, &FrameError{Reason: fmt.Sprintf("unknown type %d", h[0])}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, &FrameError{Reason: "the stream ends inside a frame's body"}
		}
		return nil, err
	}
	if err := decMode.Unmarshal(body, m); err != nil {
		return nil, &FrameError{Reason: err.Error()}
	}
	return m, nil
}

// Expect receives one message of type T. Errors are those of Read, and a
// *FrameError for a message of another type.
func Expect[T Message](r io.Reader) (T, error) {
	var zero T
	m, err := Read(r)
	if err != nil {
		return zero, err
	}
	t, ok := m.(T)
	if !ok {
		return zero, &FrameError{Reason: fmt.Sprintf("got %T where %T was expected", m, zero)}
	}
	return t, nil
}
