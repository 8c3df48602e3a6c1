package silljson

import (
	"strings"
	"testing"
)

// TestCheck guards against texts that are small in bytes and large in memory, and against a
// limit that counts what is inside of strings.
func TestCheck(t *testing.T) {
	const limit = 10
	for name, test := range map[string]struct {
		text string
		ok   bool
	}{
		"empty":           {"", true},
		"few":             {`{"a":[1,2,3],"b":{"c":"d"}}`, true},
		"list":            {"[" + strings.Repeat("0,", limit) + "0]", false},
		"objects":         {"[" + strings.Repeat("{}", limit) + "]", false},
		"fields":          {"{" + strings.Repeat(`"":0,`, limit) + "}", false},
		"commas in text":  {`["` + strings.Repeat(",[", 1000) + `"]`, true},
		"escaped quotes":  {`["` + strings.Repeat(`\",`, 1000) + `"]`, true},
		"escaped escape":  {`["\\",` + strings.Repeat("0,", limit) + "0]", false},
		"open string":     {`["a`, true},
		"open escape":     {`["a\`, true},
		"closes too much": {"]]]]", true},
	} {
		t.Run(name, func(t *testing.T) {
			if err := Check([]byte(test.text), limit); (err == nil) != test.ok {
				t.Errorf("%q: %v", test.text, err)
			}
		})
	}
	if Check([]byte(strings.Repeat("[", maxDepth+1)), 1000) == nil {
		t.Error("deep nesting was let through")
	}
}
