package silljob

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// spoiled are bytes that are not UTF-8.
const spoiled = "\xff\xfe\x80"

// TestSpoiledAnswers guards against bytes that no event stream can hold becoming part of a
// generation: its result, and all others of its job, could not be read any more.
func TestSpoiledAnswers(t *testing.T) {
	for name, first := range map[string]behaviour{
		"first event":        {Status: http.StatusOK, Text: "id: 0\ndata: " + spoiled + "\n\n"},
		"later event":        {Status: http.StatusOK, Text: "id: 0\ndata: %s-0\n\nid: 1\ndata: " + spoiled + "\n\n"},
		"comment":            {Status: http.StatusOK, Text: ": " + spoiled + "\n\nid: 0\ndata: x\n\n"},
		"no event, a text":   {Status: http.StatusOK, Text: strings.Repeat(spoiled, 1000)},
		"no event, one line": {Status: http.StatusOK, Text: strings.Repeat("x", 1<<21)},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2, func(_ int, ca call, n int) behaviour {
				if n == 1 && ca.Request == "job-item-01" {
					b := first
					b.Version = 1
					b.Text = strings.ReplaceAll(b.Text, "%s", string(ca.Request))
					return b
				}
				return completeStream(0, ca, n)
			})
			a, b := c.start("a"), c.start("b")
			sub := submission("job", 4)
			a.submit(t, sub)
			checkComplete(t, sub, a.results(t, "job", 4), testEvents)
			checkComplete(t, sub, b.results(t, "job", 4), testEvents)
		})
	}
}

// undecoded records the keys that a store can't decode.
func undecoded(s *Store) *[]string {
	var keys []string
	s.OnUndecoded = func(key string, _ error) { keys = append(keys, key) }
	return &keys
}

func checkItems(t *testing.T, results []Result, want ...ItemID) {
	t.Helper()
	var got []ItemID
	for _, r := range results {
		if r.Completed {
			got = append(got, r.Item)
		} else {
			got = append(got, r.Item+" aborted")
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("results %q, want %q", got, want)
	}
}

// TestSpoiledResultCostsItselfOnly reads results that an earlier build wrote with a text that
// is not UTF-8, and a row that is no list: all others must stay readable, at their positions.
func TestSpoiledResultCostsItselfOnly(t *testing.T) {
	t.Run("spoiled text", func(t *testing.T) {
		s, table := newStore()
		keys := undecoded(s)
		held := mustAccept(t, s, submission("job", 5), "a")
		b, err := cbor.Marshal([]Result{{Item: "0", Completed: true}, {Item: "1", Completed: true, Text: spoiled}, {Item: "2", Completed: true}})
		if err != nil {
			t.Fatal(err)
		}
		mustPut(t, table.Store(), rowKey(ResultTable, "job", chunkKey(0, 0)), b)
		held.Published = 3
		if _, err := s.Write(t.Context(), "job", held, Update{Results: []Result{{Item: "3", Completed: true}, {Item: "4", Completed: true, Score: spoiled}}}); err != nil {
			t.Fatal(err)
		}
		results, err := s.Results(t.Context(), "job", 0)
		if err != nil {
			t.Fatal(err)
		}
		checkItems(t, results, "0", "1 aborted", "2", "3", "4 aborted")
		if len(*keys) != 2 {
			t.Errorf("undecoded keys %q", *keys)
		}
	})
	t.Run("no list", func(t *testing.T) {
		s, table := newStore()
		undecoded(s)
		held := mustAccept(t, s, submission("job", 4), "a")
		held, err := s.Write(t.Context(), "job", held, Update{Results: []Result{{Item: "0", Completed: true}}})
		if err != nil {
			t.Fatal(err)
		}
		mustPut(t, table.Store(), rowKey(ResultTable, "job", chunkKey(1, 0)), []byte(spoiled))
		held.Published = 3
		if _, err := s.Write(t.Context(), "job", held, Update{Results: []Result{{Item: "3", Completed: true}}}); err != nil {
			t.Fatal(err)
		}
		results, err := s.Results(t.Context(), "job", 0)
		if err != nil {
			t.Fatal(err)
		}
		checkItems(t, results, "0", " aborted", " aborted", "3")
	})
}

func mustPut(t *testing.T, table *silltable.Store, key string, value []byte) {
	t.Helper()
	if _, err := table.Commit(t.Context(), silltable.Txn{Writes: []silltable.Write{{Key: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// TestSpoiledProgressIsGeneratedAgain saves a generation that is not UTF-8, as an earlier build
// may have: a successor must load the job all the same.
func TestSpoiledProgressIsGeneratedAgain(t *testing.T) {
	c := newCluster(t, 2, completeStream)
	c.store.OnUndecoded = func(string, error) {}
	a := c.start("a")
	for _, e := range c.engines {
		a.directory.Remove(e.ID)
	}
	sub := submission("job", 3)
	a.submit(t, sub)
	b := c.start("b")
	held, ok := a.board.Get("job")
	if !ok {
		t.Fatal("the job is not on the board")
	}
	saved := []Progress{
		{Item: sub.Items[0].ID, Events: []string{spoiled}, Versions: nil},
		{Item: sub.Items[1].ID, Events: []string{textOf(sub.Items[1].ID, 1)}, LastEvent: 0},
	}
	if _, err := c.store.Write(t.Context(), "job", held, Update{Progress: saved, Waiting: 1}); err != nil {
		t.Fatal(err)
	}
	c.declareDead("a")
	checkComplete(t, sub, b.results(t, "job", 3), testEvents)
}

// TestSpoiledItemCostsItselfOnly spoils the row of one item of a job: all others must run, and
// the item must be given up once the job allows that.
func TestSpoiledItemCostsItselfOnly(t *testing.T) {
	c := newCluster(t, 2, completeStream)
	c.store.OnUndecoded = func(string, error) {}
	sub := largeSubmission(3, 30<<10)
	sub.AbandonAfterMS = 3000
	held := mustAccept(t, c.store, sub, "lost")
	mustPut(t, c.table.Store(), rowKey(ContentTable, "job", held.Content.prefix()+chunkKey(1, 0)), []byte(spoiled))
	results := c.start("b").results(t, "job", 3)
	slices.SortFunc(results, func(a, b Result) int { return strings.Compare(string(a.Item), string(b.Item)) })
	checkItems(t, results, sub.Items[0].ID, sub.Items[1].ID+" aborted", sub.Items[2].ID)
}

// TestEarlierLayout runs a job that an earlier build wrote: one list of all items and the head
// under keys without an id.
func TestEarlierLayout(t *testing.T) {
	c := newCluster(t, 2, completeStream)
	sub := largeSubmission(6, 20<<10)
	list, err := cbor.Marshal(sub.Items)
	if err != nil {
		t.Fatal(err)
	}
	l := elementList{data: list}
	writes := l.rows(ContentTable, "job", "")
	head, err := cbor.Marshal(sub)
	if err != nil {
		t.Fatal(err)
	}
	writes = append(writes, silltable.Write{Key: rowKey(ContentTable, "job", headKey), Value: head})
	row, err := encodeState("job", &State{Organisation: "org", Model: testModel, Pool: "p", MinVersion: 1, Total: 6, Waiting: 6, Owner: "lost", Epoch: 1, SubmittedMS: sub.SubmittedMS})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.table.Store().Commit(t.Context(), silltable.Txn{Writes: append(writes, row)}); err != nil {
		t.Fatal(err)
	}
	b := c.start("b")
	eventually(t, "the job is on the board", func() bool { _, ok := b.board.Get("job"); return ok })
	body, err := b.reader.Body(t.Context(), "job", "org", sub.Items[5].ID)
	if err != nil || string(body) != string(sub.Items[5].Body) {
		t.Errorf("%d bytes of a body, %v", len(body), err)
	}
	checkComplete(t, sub, b.results(t, "job", 6), testEvents)
}
