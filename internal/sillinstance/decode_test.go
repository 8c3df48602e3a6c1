package sillinstance

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

const soundEntry = `{"instance-id":"i","target-id":"t","pool":"p","availability-zone":"z","agent-address":"127.0.0.1:1","state":"live"}`

// oddEntry returns the sound entry with another value for a field.
func oddEntry(field, value string) string {
	var fields map[string]json.RawMessage
	_ = json.Unmarshal([]byte(soundEntry), &fields)
	fields[field] = json.RawMessage(value)
	entry := make([]string, 0, len(fields))
	for name, v := range fields {
		entry = append(entry, fmt.Sprintf("%q:%s", name, v))
	}
	return "{" + strings.Join(entry, ",") + "}"
}

func nested(depth int, opening, closing string) string {
	return strings.Repeat(opening, depth) + "1" + strings.Repeat(closing, depth)
}

// TestOddEntries guards against one odd entry that keeps a process from reading the list.
func TestOddEntries(t *testing.T) {
	odd := map[string]string{
		"nested arrays":        nested(200000, "[", "]"),
		"nested objects":       nested(200000, `{"a":`, "}"),
		"a nested field":       oddEntry("pool", nested(200000, "[", "]")),
		"null":                 "null",
		"a text":               `"]}"`,
		"a number":             "1e999",
		"an array":             "[]",
		"an empty object":      "{}",
		"a number for an id":   oddEntry("instance-id", "7"),
		"a huge number":        oddEntry("target-id", "1e400"),
		"an object for a zone": oddEntry("availability-zone", `{"a":"b"}`),
		"no address":           oddEntry("agent-address", `""`),
		"a host name":          oddEntry("agent-address", `"host.example:80"`),
		"a port out of range":  oddEntry("agent-address", `"127.0.0.1:65536"`),
		"a negative port":      oddEntry("agent-address", `"127.0.0.1:-1"`),
		"port 0":               oddEntry("agent-address", `"127.0.0.1:0"`),
		"no port":              oddEntry("agent-address", `"127.0.0.1"`),
		"an unknown state":     oddEntry("state", `"asleep"`),
		"no pool":              oddEntry("pool", `""`),
		"a null target":        oddEntry("target-id", "null"),
	}
	for name, entry := range odd {
		t.Run(name, func(t *testing.T) {
			skipped := 0
			body := fmt.Sprintf(`{"as-of":60000,"instances":[%s,%s,%s]}`, soundEntry, entry, soundEntry)
			list, err := decodeList([]byte(body), func(error) { skipped++ })
			if err != nil || len(list.Instances) != 2 || skipped != 1 {
				t.Errorf("%d instances, %d skipped, error %v; want 2 and 1", len(list.Instances), skipped, err)
			}
		})
	}
	t.Run("an unknown field that is nested", func(t *testing.T) {
		entry := oddEntry("notes", nested(200000, "[", "]"))
		list, err := decodeList([]byte(`{"as-of":1,"instances":[`+entry+`]}`), func(error) {})
		if err != nil || len(list.Instances) != 1 {
			t.Errorf("%d instances, error %v; want 1", len(list.Instances), err)
		}
	})
}

// FuzzDropDeep checks that dropping values changes no valid document that is shallow.
func FuzzDropDeep(f *testing.F) {
	f.Add(`{"a":["\\\"]}",{"b":null}]}`)
	f.Fuzz(func(t *testing.T, body string) {
		var value any
		if json.Unmarshal([]byte(body), &value) != nil || strings.Count(body, "[")+strings.Count(body, "{") > maxDepth {
			return
		}
		if got := string(dropDeep([]byte(body))); got != body {
			t.Errorf("%q became %q", body, got)
		}
	})
}
