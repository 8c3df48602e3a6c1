// Package silltimeline puts together what happened to one request or job from the
// logs of several processes, whose clocks may differ.
package silltimeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Line is one line of a log.
type Line struct {
	// At is the time by the writer's clock.
	At      time.Time
	Level   string
	Part    string
	Message string
	// Fields holds the other fields of the line; numbers are json.Number.
	Fields map[string]any
}

// text returns a field as text, or "" if the line has no such field.
func (l *Line) text(field string) string {
	switch v := l.Fields[field].(type) {
	case string:
		return v
	case json.Number:
		return v.String()
	}
	return ""
}

// Log is what one process wrote, in the order in which it wrote it.
type Log struct {
	// Name is the name of the instance, or of the source if no line names the instance.
	Name  string
	Lines []Line
}

// Logs is what was read from all sources.
type Logs struct {
	Logs []*Log
	// Bad counts the lines that could not be read.
	Bad int
}

// maxLine bounds the bytes of one line. Lines of the product have a few hundred.
const maxLine = 1 << 20

// Read adds the lines of a source. A log collector may have put words before each
// line; lines with the same last word belong to one process.
func (all *Logs) Read(source string, r io.Reader) error {
	byWriter := make(map[string]*Log)
	in := bufio.NewReaderSize(r, 64<<10)
	for {
		raw, err := in.ReadBytes('\n')
		all.add(byWriter, source, raw)
		if err == io.EOF {
			break
		}
		if err != nil {
			return eris.Wrapf(err, "silltimeline.Read: %s", source)
		}
	}
	for _, writer := range slices.Sorted(maps.Keys(byWriter)) {
		all.Logs = append(all.Logs, byWriter[writer])
	}
	return nil
}

func (all *Logs) add(byWriter map[string]*Log, source string, raw []byte) {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 {
		return
	}
	start := bytes.IndexByte(raw, '{')
	if start < 0 || len(raw) > maxLine {
		all.Bad++
		return
	}
	line, ok := decode(raw[start:])
	if !ok {
		all.Bad++
		return
	}
	writer := lastWord(string(raw[:start]))
	log := byWriter[writer]
	if log == nil {
		log = &Log{Name: source}
		if writer != "" {
			log.Name = writer
		}
		byWriter[writer] = log
	}
	if name := line.text("instance"); line.Message == started && name != "" {
		log.Name = name
	}
	log.Lines = append(log.Lines, line)
}

func lastWord(s string) string {
	words := strings.Fields(s)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// decode decodes one line, and returns false if it is not a line of the product.
func decode(raw []byte) (Line, bool) {
	var fields map[string]any
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	if err := d.Decode(&fields); err != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Level, line.Part, line.Message = line.text("level"), line.text("part"), line.text("message")
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	if err != nil || line.Message == "" {
		return Line{}, false
	}
	line.At = at
	for _, own := range []string{"level", "part", "message", "time"} {
		delete(fields, own)
	}
	return line, true
}
