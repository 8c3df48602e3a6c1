// Package sillevent reads the event streams of model engines.
package sillevent

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// maxLine bounds a line of a stream.
const maxLine = 1 << 20

// ErrTruncated is returned for a stream that ends in the middle of an event.
var ErrTruncated = errors.New("the stream ended in the middle of an event")

// Event is one event of a stream.
type Event struct {
	// ID counts the events of a stream; -1 if the event has none.
	ID int
	// Data is the text of the event, its lines joined by line feeds.
	Data string
	// Version is the weight version from this event on, 0 if the event names none.
	Version sillid.WeightVersion
	// Raw is the event as it came, with the empty line at its end.
	Raw []byte
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	lines *bufio.Reader
	// versionField is the name of the field that carries a weight version.
	versionField string
}

// NewReader returns a reader of a stream whose events name a new weight version
// in the field versionField.
func NewReader(r io.Reader, versionField string) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, 4<<10), versionField: versionField}
}

// Next returns the next event; io.EOF after a stream that ended between two
// events; ErrTorn if it ended within one; else the error of the reading.
func (r *Reader) Next() (Event, error) {
	e := Event{ID: -1}
	var data []string
	for {
		line, err := r.line()
		if err != nil {
			return Event{}, endOf(err, len(e.Raw)+len(line))
		}
		e.Raw = append(e.Raw, line...)
		field := bytes.TrimRight(line, "\r\n")
		if len(field) > 0 {
			data = r.take(&e, string(field), data)
			continue
		}
		if e.ID < 0 && data == nil && e.Version == 0 {
			// A comment or an extra empty line is no event.
			e.Raw = nil
			continue
		}
		e.Data = strings.Join(data, "\n")
		return e, nil
	}
}

func (r *Reader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := r.lines.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
		if len(line) > maxLine {
			return line, eris.New("sillevent.line: line too long")
		}
	}
}

func endOf(err error, pending int) error {
	if errors.Is(err, io.EOF) && pending > 0 {
		return ErrTruncated
	}
	return err
}

// take adds one field to an event. Unknown fields are left out.
func (r *Reader) take(e *Event, field string, data []string) []string {
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
