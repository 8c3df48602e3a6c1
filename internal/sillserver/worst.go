package sillserver

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a connection that may be closed for a new one.
type candidate struct {
	conn    *conn
	rank    int
	stalled time.Duration
}

// worst keeps the worst candidates, the worst one first.
type worst struct {
	limit int
	kept  []candidate
}

func newWorst(limit int) *worst { return &worst{limit: limit, kept: make([]candidate, 0, limit+1)} }

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.stalled, a.stalled))
}

func (w *worst) add(c *conn, rank int, stalled time.Duration) {
	one := candidate{conn: c, rank: rank, stalled: stalled}
	if len(w.kept) == w.limit && compareCandidates(one, w.kept[w.limit-1]) >= 0 {
		return
	}
	i, _ := slices.BinarySearchFunc(w.kept, one, compareCandidates)
	w.kept = slices.Insert(w.kept, i, one)
	w.kept = w.kept[:min(len(w.kept), w.limit)]
}

// list returns the connections to close: those that stall, or else the one that has been idle
// for longest, as its client may use it again.
func (w *worst) list() []*conn {
	var list []*conn
	for i := range w.kept {
		if i > 0 && w.kept[i].rank >= idleRank {
			break
		}
		list = append(list, w.kept[i].conn)
	}
	return list
}
