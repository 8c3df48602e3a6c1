package sillevent

import (
	"unicode/utf8"
)

// Checker checks the bytes of a stream that are passed on as they arrive. The zero value is
// ready for the first byte. It is not safe for concurrent use.
type Checker struct {
	// line and event are the bytes since the last line feed and the last empty line.
	line, event int
	// partial holds the first bytes of a character of which the rest has not arrived.
	partial []byte
}

// Check checks the bytes that follow. It returns ErrNotText for bytes that are not UTF-8, and
// ErrTooLong for a line or an event that is longer than an engine sends.
func (c *Checker) Check(p []byte) error {
	for _, b := range p {
		c.event++
		switch {
		case b == '\n' && c.line == 0:
			c.event = 0
		case b == '\n':
			c.line = 0
		case b != '\r':
			c.line++
		}
		if c.line > maxLineBytes || c.event > maxEventBytes {
			return ErrTooLong
		}
	}
	return c.checkText(p)
}

// End checks that the stream may end here. It returns ErrNotText within a character.
func (c *Checker) End() error {
	if len(c.partial) > 0 {
		return ErrNotText
	}
	return nil
}

func (c *Checker) checkText(p []byte) error {
	if len(c.partial) == 0 && utf8.Valid(p) {
		return nil
	}
	text := p
	if len(c.partial) > 0 {
		text = append(c.partial, p...)
	}
	for len(text) > 0 {
		r, size := utf8.DecodeRune(text)
		if r != utf8.RuneError || size > 1 {
			text = text[size:]
			continue
		}
		if utf8.FullRune(text) {
			return ErrNotText
		}
		break
	}
	c.partial = append([]byte(nil), text...)
	return nil
}
