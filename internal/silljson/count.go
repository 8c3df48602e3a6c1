// Package silljson bounds JSON before it is decoded: many short values take many times their
// bytes of memory.
package silljson

import "github.com/rotisserie/eris"

// maxDepth is the limit of nested lists and objects. No message of the system has more than a
// few levels.
const maxDepth = 64

// Check returns an error if a text has more values than a limit or is nested too deeply. It
// does not check that the text is JSON.
func Check(text []byte, maxValues int) error {
	values, depth := 1, 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '[', '{':
			depth++
			values++
		case ']', '}':
			depth--
		case ',':
			values++
		}
		if depth > maxDepth {
			return eris.Errorf("silljson.Check: more than %d levels", maxDepth)
		}
		if values > maxValues {
			return eris.Errorf("silljson.Check: more than %d values", maxValues)
		}
	}
	return nil
}

// endOfString returns the index of the quotation mark that ends a string.
func endOfString(text []byte, begin int) int {
	i := begin + 1
	for i < len(text) && text[i] != '"' {
		if text[i] == '\\' {
			i++
		}
		i++
	}
	return i
}
