// Package sillevent reads the server-sent event streams of model engines.
package sillevent

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// maxLineBytes bounds a line of a stream.
	maxLineBytes = 1 << 20
	// maxEventBytes bounds all lines of an event.
	maxEventBytes = 2 << 20
)

// ErrTruncated is returned for a stream that ends within an event.
var ErrTruncated = errors.New("the stream ended in the middle of an event")

// ErrTooLong is returned for a line or an event that is longer than an engine sends.
var ErrTooLong = errors.New("the event is too long")

// ErrNotText is returned for bytes that no event stream can hold: it is UTF-8.
var ErrNotText = errors.New("the stream holds bytes that are not UTF-8")

// Event is one event of a stream.
type Event struct {
	// ID is the number of the event in its stream; -1 if the event has no id.
	ID int
	// Data holds the data lines of the event, joined by line feeds.
	Data string
	// Version is the weight version from this event on; 0 if the event reports none.
	Version sillid.WeightVersion
	// Raw is the event as received, with the empty line at its end.
	Raw []byte
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	lines *bufio.Reader
	// versionField is the name of the field that carries a weight version.
	versionField string
}

// NewReader returns a reader of a stream whose events report a new weight version
// in the field versionField.
func NewReader(r io.Reader, versionField string) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, 4<<10), versionField: versionField}
}

// Next returns the next event. It returns io.EOF if the stream ended between two
// events, ErrTruncated if it ended within one, ErrTooLong for an event without end, and
// ErrNotText for one that is not UTF-8, and else the error of the read.
func (r *Reader) Next() (Event, error) {
	e := Event{ID: -1}
	var data []string
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, streamError(err, len(e.Raw)+len(line))
		}
		if len(e.Raw)+len(line) > maxEventBytes {
			return Event{}, ErrTooLong
		}
		if !utf8.Valid(line) {
			return Event{}, ErrNotText
		}
		e.Raw = append(e.Raw, line...)
		field := bytes.TrimRight(line, "\r\n")
		if len(field) > 0 {
			data = r.addField(&e, string(field), data)
			continue
		}
		if e.ID < 0 && data == nil && e.Version == 0 {
			// A comment or an extra empty line is not an event.
			e.Raw = nil
			continue
		}
		e.Data = strings.Join(data, "\n")
		return e, nil
	}
}

func (r *Reader) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := r.lines.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
		if len(line) > maxLineBytes {
			return line, ErrTooLong
		}
	}
}

// streamError returns ErrTruncated for an io.EOF with pending bytes of an event.
func streamError(err error, pending int) error {
	if errors.Is(err, io.EOF) && pending > 0 {
		return ErrTruncated
	}
	return err
}

// addField adds one field to an event and returns its data lines. Unknown fields are
// ignored.
func (r *Reader) addField(e *Event, field string, data []string) []string {
	name, value, _ := strings.Cut(field, ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "data":
		return append(data, value)
	case "id":
		if n, err := strconv.Atoi(value); err == nil {
			e.ID = n
		}
	case r.versionField:
		if n, err := strconv.ParseUint(value, 10, 64); err == nil {
			e.Version = sillid.WeightVersion(n)
		}
	}
	return data
}
