package silltimeline

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// writer makes the log of one process, whose clock may be ahead.
type writer struct {
	b     strings.Builder
	ahead time.Duration
	// before stands before each line, as a collector of logs writes it.
	before string
}

// at writes a line at a number of milliseconds of the true time.
func (w *writer) at(ms int, message, fields string) {
	when := time.UnixMilli(1_800_000_000_000).Add(time.Duration(ms)*time.Millisecond + w.ahead)
	fmt.Fprintf(&w.b, "%s{\"level\":\"info\",\"time\":%q,\"message\":%q%s}\n", w.before, when.UTC().Format(time.RFC3339Nano), message, fields)
}

// learn writes what every process learns of: three configurations.
func (w *writer) learn(from int) {
	for v := range 3 {
		w.at(from+1000*v, "Configuration in force.", fmt.Sprintf(`,"version":%d`, 10+v))
	}
}

func read(t *testing.T, sources ...*writer) *Logs {
	t.Helper()
	var all Logs
	for i, w := range sources {
		if err := all.Read(fmt.Sprintf("file-%d", i), strings.NewReader(w.b.String())); err != nil {
			t.Fatal(err)
		}
	}
	return &all
}

func assertTimeline(t *testing.T, all *Logs, id string, want ...string) *Timeline {
	t.Helper()
	timeline, err := Build(all, id)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range timeline.Entries {
		got = append(got, e.Log+": "+e.Message+e.fields())
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("timeline of %s:\n%s\nwant:\n%s", id, strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	return timeline
}

func TestTimeline(t *testing.T) {
	t.Run("the clocks of processes differ", func(t *testing.T) {
		a, b := &writer{}, &writer{ahead: 2 * time.Second}
		a.at(0, started, `,"instance":"front-a"`)
		b.at(0, started, `,"instance":"front-b"`)
		a.learn(20_000)
		b.learn(20_010)
		b.at(30_000, "Job accepted.", `,"job":"j"`)
		a.at(30_500, "Took a job over.", `,"job":"j"`)
		b.at(31_000, "Stopped running a job.", `,"job":"j"`)
		timeline := assertTimeline(t, read(t, a, b), "j",
			"front-b: Job accepted. job=j", "front-a: Took a job over. job=j", "front-b: Stopped running a job. job=j")
		if d := timeline.Ahead["front-b"]; (d - 2*time.Second).Abs() > 20*time.Millisecond {
			t.Errorf("front-b is %v ahead, want 2 s", d)
		}
	})
	t.Run("what is read after a start tells nothing of the clock", func(t *testing.T) {
		a, b := &writer{}, &writer{}
		a.at(0, started, `,"instance":"front-a"`)
		a.learn(10_000)
		b.at(40_000, started, `,"instance":"front-b"`)
		for v := range 3 {
			b.at(40_100, "Configuration in force.", fmt.Sprintf(`,"version":%d`, 10+v))
		}
		a.at(60_000, "Answered.", `,"request":"q"`)
		timeline := assertTimeline(t, read(t, a, b), "q", "front-a: Answered. request=q")
		if len(timeline.Ahead) > 0 {
			t.Errorf("clocks %v, want none that differ", timeline.Ahead)
		}
	})
	t.Run("an item's timeline has the lines of its job, process and target", func(t *testing.T) {
		a, b := &writer{}, &writer{}
		a.at(0, started, `,"instance":"front-a"`)
		b.at(0, started, `,"instance":"front-b"`)
		a.at(20_000, "Job accepted.", `,"job":"j"`)
		a.at(20_100, "Item sent.", `,"request":"i","job":"j","target":"t-1"`)
		a.at(20_100, "Item sent.", `,"request":"other","job":"j","target":"t-2"`)
		a.at(20_200, "Target left the registry.", `,"target":"t-1"`)
		a.at(20_200, "Target left the registry.", `,"target":"t-2"`)
		a.at(20_300, "Table is away.", ``)
		b.at(20_300, "Table is away.", ``)
		b.at(20_400, "Ordered weights.", `,"target":"t-1","version":4`)
		a.at(20_500, "Item done.", `,"request":"i","job":"j"`)
		assertTimeline(t, read(t, a, b), "i",
			"front-a: Job accepted. job=j", "front-a: Item sent. request=i job=j target=t-1",
			"front-a: Target left the registry. target=t-1", "front-a: Table is away.",
			"front-b: Ordered weights. target=t-1 version=4", "front-a: Item done. request=i job=j")
	})
	t.Run("one file of several processes", func(t *testing.T) {
		w := &writer{before: "12.3 front-a "}
		w.at(0, "Attempt failed.", `,"request":"q"`)
		w.before = "12.4 front-b "
		w.at(1, "Answered.", `,"request":"q"`)
		assertTimeline(t, read(t, w), "q", "front-a: Attempt failed. request=q", "front-b: Answered. request=q")
	})
	t.Run("the content of requests with different ids", func(t *testing.T) {
		a, b := &writer{}, &writer{}
		a.at(0, "Attempt failed.", `,"request":"q1","content":"c"`)
		a.at(1, "Attempt failed.", `,"request":"q2","content":"other"`)
		b.at(2, "Gave a request up.", `,"request":"q3","content":"c"`)
		assertTimeline(t, read(t, a, b), "c",
			"file-0: Attempt failed. request=q1 content=c", "file-1: Gave a request up. request=q3 content=c")
	})
	t.Run("lines that can't be read are counted", func(t *testing.T) {
		w := &writer{}
		w.b.WriteString("panic: something\n{\"message\":\"no time\"}\n{broken\n\n[1]\n")
		w.at(0, "Answered.", `,"request":"q"`)
		w.b.WriteString(`{"level":"info","time":"2027-01-15T08:00:00Z","mess`)
		if timeline := assertTimeline(t, read(t, w), "q", "file-0: Answered. request=q"); timeline.Bad != 5 {
			t.Errorf("%d bad lines, want 5", timeline.Bad)
		}
	})
	t.Run("an id that nobody names", func(t *testing.T) {
		w := &writer{}
		w.at(0, "Answered.", `,"request":"q"`)
		var missing *NotFoundError
		if _, err := Build(read(t, w), "q2"); !errors.As(err, &missing) || missing.Lines != 1 {
			t.Errorf("error %v, want one of 1 line", err)
		}
	})
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`x front-a {"time":"2027-01-15T08:00:00Z","message":"Answered.","request":"q"}`))
	f.Add([]byte(`{"time":1,"message":{}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var all Logs
		if err := all.Read("f", strings.NewReader(string(b))); err != nil {
			t.Fatal(err)
		}
		if timeline, err := Build(&all, "q"); err == nil && len(timeline.Entries) == 0 {
			t.Error("an empty timeline")
		}
	})
}
