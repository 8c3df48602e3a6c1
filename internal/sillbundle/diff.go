package sillbundle

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ChangeKind is the kind of a change to a part of the bundle.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two bundles.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Path is the path of the part by identifiers, as in "organisations/ID/weight".
	Path string `json:"path"`
	// Old and New are the values as JSON; empty if the part did not exist or is
	// not a single value.
	Old json.RawMessage `json:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty"`
}

// String returns the change as one line for operators.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s %s", c.Path, c.New)
	case Removed:
		return fmt.Sprintf("- %s %s", c.Path, c.Old)
	default:
		return fmt.Sprintf("~ %s %s -> %s", c.Path, c.Old, c.New)
	}
}

// Diff returns the changes from one bundle to another, sorted by path. It ignores
// the order of lists.
func Diff(from, to *Bundle) []Change {
	old, changed := leaves(from), leaves(to)
	var changes []Change
	for path, value := range old {
		next, stays := changed[path]
		switch {
		case !stays:
			changes = append(changes, Change{Kind: Removed, Path: path, Old: value})
		case string(next) != string(value):
			changes = append(changes, Change{Kind: Changed, Path: path, Old: value, New: next})
		}
	}
	for path, value := range changed {
		if _, was := old[path]; !was {
			changes = append(changes, Change{Kind: Added, Path: path, New: value})
		}
	}
	changes = dropNested(changes)
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	return changes
}

// dropNested drops additions and removals below an added or removed part.
func dropNested(changes []Change) []Change {
	whole := map[string]bool{}
	for _, c := range changes {
		if c.Kind != Changed {
			whole[c.Path] = true
		}
	}
	return slices.DeleteFunc(changes, func(c Change) bool {
		for i, r := range c.Path {
			if r == '/' && whole[c.Path[:i]] {
				return true
			}
		}
		return false
	})
}

// leaves returns the values of a bundle by path. A part with an identifier is a leaf
// of its own besides its fields. Its value is nil so that it compares equal when only
// its fields differ.
func leaves(b *Bundle) map[string]json.RawMessage {
	var root any
	// The canonical form always decodes.
	_ = json.Unmarshal(b.Canonical(), &root)
	out := map[string]json.RawMessage{}
	collectLeaves(out, "", root)
	return out
}

func collectLeaves(out map[string]json.RawMessage, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) {
			collectLeaves(out, join(path, name), v[name])
		}
	case []any:
		for _, element := range v {
			collectElement(out, path, element)
		}
	default:
		out[path] = encode(v)
	}
}

func collectElement(out map[string]json.RawMessage, path string, element any) {
	object, isObject := element.(map[string]any)
	if !isObject {
		out[join(path, fmt.Sprint(element))] = nil
		return
	}
	name := object["id"]
	if name == nil {
		name = object["label"]
	}
	at := join(path, fmt.Sprint(name))
	out[at] = nil
	collectLeaves(out, at, object)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}

// encode returns a JSON scalar.
func encode(v any) json.RawMessage {
	data, _ := json.Marshal(v)
	return data
}

// FormatDiff returns the changes as text for operators, one per line.
func FormatDiff(changes []Change) string {
	if len(changes) == 0 {
		return "no change\n"
	}
	var out strings.Builder
	for _, c := range changes {
		out.WriteString(strings.TrimRight(c.String(), " "))
		out.WriteByte('\n')
	}
	return out.String()
}
