package sillusage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbilling"
	"github.com/wasabisill/wasabisill/internal/sillcall"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/sillproperty"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func TestMain(m *testing.M) {
	os.Exit(sillproperty.Run(m, sillproperty.Config{}))
}

const (
	testWindow = 60 * time.Second
	leaseKey   = "lease-epoch/usage"
)

// origin identifies the usage of one organisation in one window.
type origin struct {
	org    sillid.OrganisationID
	window Window
}

type testAgent struct {
	meter   *Meter
	flusher *Flusher
	// names holds every name that the meter has had.
	names []sillid.AgentID
	alive bool
	busy  bool
	// exposed is true if uncovered records are kept by no gateway.
	exposed bool
}

type testGateway struct {
	backup *RecordBackup
	busy   bool
}

type testHolder struct {
	closer   *Closer
	reporter *Reporter
	guard    silllease.Guard
	busy     bool
}

// world is a small system that counts the served usage independently of the code
// under test.
type world struct {
	t        testing.TB
	table    sillmemtable.Table
	now      time.Time
	metrics  *Metrics
	agents   []*testAgent
	gateways []*testGateway
	holders  []*testHolder
	truth    map[origin]Figures
	// mu guards accepted, which tests read while a task runs.
	mu sync.Mutex
	// accepted holds the encoded reports that the platform accepted, by id.
	accepted map[sillbilling.ReportID]string
	// billingFault is called before ("send") and after ("answer") a report takes
	// effect; its error is returned to the caller.
	billingFault func(call string) error
	nameCount    int
	epoch        sillid.Epoch
}

func newWorld(t testing.TB) *world {
	w := &world{
		t:        t,
		now:      time.UnixMilli(600_000_000),
		metrics:  NewMetrics(prometheus.NewRegistry()),
		truth:    make(map[origin]Figures),
		accepted: make(map[sillbilling.ReportID]string),
	}
	w.billingFault = func(string) error { return nil }
	return w
}

func (w *world) clock() time.Time { return w.now }

func (w *world) name(kind string) string {
	w.nameCount++
	return fmt.Sprintf("%s-%d", kind, w.nameCount)
}

func (w *world) addAgent() *testAgent {
	a := &testAgent{alive: true}
	newName := func() sillid.AgentID {
		id := sillid.AgentID(w.name("agent"))
		a.names = append(a.names, id)
		return id
	}
	a.meter = NewMeter(MeterConfig{Agent: newName(), WindowLength: testWindow})
	a.flusher = NewFlusher(FlusherConfig{
		Store:      w.table.Store(),
		Meter:      a.meter,
		Now:        w.clock,
		PruneEvery: 3,
		NewAgentID: newName,
		Logger:     zap.NewNop(),
		Metrics:    w.metrics,
	})
	w.agents = append(w.agents, a)
	return a
}

func (w *world) newGateway() *testGateway {
	return &testGateway{backup: NewRecordBackup(RecordBackupConfig{
		Gateway: sillid.GatewayID(w.name("gateway")),
		Limit:   DefaultRecordBackupLimit,
		Store:   w.table.Store(),
		Metrics: w.metrics,
	})}
}

// takeOver returns a holder with the next epoch; earlier ones still assume that they
// hold the lease.
func (w *world) takeOver() *testHolder {
	w.epoch++
	fault := w.table.Fault
	w.table.Fault = nil
	revisions, err := w.table.Store().Commit(context.Background(), silltable.Txn{
		Writes: []silltable.Write{{Key: leaseKey, Value: []byte("x")}},
	})
	w.table.Fault = fault
	if err != nil {
		w.t.Fatal(err)
	}
	h := &testHolder{guard: silllease.Guard{
		Epoch:  w.epoch,
		MayAct: func(time.Time) bool { return true },
		Check:  silltable.Check{Key: leaseKey, Revision: revisions[0]},
	}}
	h.closer = NewCloser(CloserConfig{
		Store: w.table.Store(), Now: w.clock, WindowLength: testWindow,
		CloseDelay: 20 * time.Second, DeadAfter: 100 * time.Second, OrphanGrace: 30 * time.Second,
		Logger: zap.NewNop(), Metrics: w.metrics,
	})
	h.reporter = NewReporter(ReporterConfig{
		Store: w.table.Store(), Now: w.clock, Logger: zap.NewNop(), Metrics: w.metrics,
		Billing: &sillbilling.Client{Send: w.send},
	})
	w.holders = append(w.holders, h)
	return h
}

// send simulates the platform's usage interface.
func (w *world) send(_ context.Context, encoded []byte, mayAct func() bool) error {
	if !mayAct() {
		return sillcall.ErrNotPermitted
	}
	if err := w.billingFault("send"); err != nil {
		return err
	}
	var r sillbilling.Report
	if err := json.Unmarshal(encoded, &r); err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if before, ok := w.accepted[r.ID]; ok && before != string(encoded) {
		w.t.Fatalf("report %s sent with different figures: %s, then %s", r.ID, before, encoded)
	}
	w.accepted[r.ID] = string(encoded)
	return w.billingFault("answer")
}

// reports returns the number of reports that the platform accepted.
func (w *world) reports() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.accepted)
}

// serve counts one finished request at the agent and adds its record to the
// gateway's backup.
func (w *world) serve(a *testAgent, g *testGateway, org sillid.OrganisationID, tokens int64) {
	f := Figures{Requests: 1, PromptTokens: 3, CompletionTokens: sillid.Tokens(tokens), ServiceMilliseconds: 7}
	g.backup.Add(a.meter.Add(w.now, org, "route", f))
	key := origin{org, WindowOf(w.now, testWindow)}
	w.truth[key] = w.truth[key].Plus(f)
}

func (w *world) flush(a *testAgent, final bool) error {
	a.busy = true
	defer func() { a.busy = false }()
	err := a.flusher.Flush(context.Background(), final)
	if err == nil && a.meter.Pending() == 0 {
		a.exposed = false
	}
	return err
}

func (w *world) reportDurable(g *testGateway) {
	for _, a := range w.agents {
		if a.alive {
			g.backup.Trim(a.meter.DurableSequence())
		}
	}
}

// reportDeaths marks dead agents and the former names of live ones as dead at the
// gateway.
func (w *world) reportDeaths(g *testGateway) {
	for _, a := range w.agents {
		for i, id := range a.names {
			if !a.alive || i < len(a.names)-1 {
				g.backup.MarkAgentDead(id)
			}
		}
	}
}

func (w *world) writeOrphans(g *testGateway) error {
	g.busy = true
	defer func() { g.busy = false }()
	return g.backup.Flush(context.Background())
}

func (w *world) step(h *testHolder) error {
	h.busy = true
	defer func() { h.busy = false }()
	err := h.closer.Step(context.Background(), h.guard)
	return errors.Join(err, h.reporter.Step(context.Background(), h.guard))
}

// finish clears all faults and runs the system until all windows are closed.
func (w *world) finish() {
	w.table.Fault = nil
	w.billingFault = func(string) error { return nil }
	h := w.takeOver()
	for range 40 {
		w.now = w.now.Add(15 * time.Second)
		for _, a := range w.agents {
			if a.alive {
				_ = w.flush(a, false)
			}
		}
		for _, g := range w.gateways {
			w.reportDurable(g)
			w.reportDeaths(g)
			if err := w.writeOrphans(g); err != nil {
				w.t.Fatal(err)
			}
		}
		if err := w.step(h); err != nil {
			w.t.Fatal(err)
		}
	}
}

// assertExact checks that the reports equal the served usage.
func (w *world) assertExact() {
	w.t.Helper()
	got := make(map[origin]Figures)
	rows, err := w.table.Store().ListAll(context.Background(), sentPrefix)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, row := range rows {
		org, _, _ := strings.Cut(strings.TrimPrefix(row.Key, sentPrefix), "/")
		w.addSent(got, sillid.OrganisationID(org), row)
	}
	for key, want := range w.truth {
		if got[key] != want {
			w.t.Errorf("usage of %v reported as %+v, served %+v", key, got[key], want)
		}
	}
	for key, f := range got {
		if _, ok := w.truth[key]; !ok && f != (Figures{}) {
			w.t.Errorf("usage of %v reported as %+v, none served", key, f)
		}
	}
}

// addSent adds the figures of an accepted report by origin.
func (w *world) addSent(got map[origin]Figures, org sillid.OrganisationID, row silltable.Row) {
	var sent windowRow
	if err := decodeRow(row, &sent); err != nil {
		w.t.Fatal(err)
	}
	var r sillbilling.Report
	if err := json.Unmarshal(sent.Report, &r); err != nil {
		w.t.Fatal(err)
	}
	if w.accepted[r.ID] != string(sent.Report) {
		w.t.Errorf("report %s recorded as sent, platform accepted %q", r.ID, w.accepted[r.ID])
	}
	own := Figures{r.Requests, r.PromptTokens, r.CompletionTokens, r.ServiceMilliseconds}
	for _, c := range sent.Carried {
		key := origin{org, c.Origin}
		got[key] = got[key].Plus(c.Figures)
		own = own.Plus(Figures{-c.Figures.Requests, -c.Figures.PromptTokens, -c.Figures.CompletionTokens, -c.Figures.ServiceMilliseconds})
	}
	key := origin{org, Window(r.WindowStart)}
	got[key] = got[key].Plus(own)
}

// randomFault fails one call in four, before or after its effect.
func randomFault(rng *rand.Rand) func(ctx context.Context, call string) error {
	return func(_ context.Context, call string) error {
		if rng.Intn(4) != 0 {
			return nil
		}
		switch {
		case call == "commit-answer":
			return silltable.ErrUnknown
		case call == "commit" && rng.Intn(2) == 0:
			return silltable.ErrUnknown
		default:
			return silltable.ErrUnavailable
		}
	}
}
