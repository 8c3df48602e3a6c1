package sillengine

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// endless is a stream that repeats a text without end.
type endless struct {
	text string
	at   int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.text[e.at:])
	e.at = (e.at + n) % len(e.text)
	return n, nil
}

// TestAnswersThatAreNoStream guards against bytes that no event stream can hold becoming part
// of a text, in which the decoder would replace them, and against lines without end.
func TestAnswersThatAreNoStream(t *testing.T) {
	const event = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"
	for name, r := range map[string]io.Reader{
		"spoiled text":           strings.NewReader(event + "data: {\"choices\":[{\"text\":\"\xff\xfe\"}]}\n\ndata: [DONE]\n\n"),
		"line without end":       io.MultiReader(strings.NewReader(event), &endless{text: strings.Repeat("x", 64<<10)}),
		"lines that are no data": io.MultiReader(strings.NewReader(event), &endless{text: strings.Repeat(": x\n", 16<<10)}),
	} {
		t.Run(name, func(t *testing.T) {
			text := ""
			err := readEvents(r, func(p Part) error {
				text += p.Text
				return nil
			})
			if !errors.Is(err, ErrCut) || text != "a" {
				t.Errorf("text %q, error %v; want \"a\" and ErrCut", text, err)
			}
		})
	}
}
