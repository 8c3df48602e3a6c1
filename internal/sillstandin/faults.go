// Package sillstandin holds what the stand-ins of the platform, the engines
// and the services share: faults that are switched on over HTTP, the record of
// what was received, and serving.
//
// A stand-in divides its calls into areas ("table", "orders", ...). Each area
// has its own Faults; POST /standin/faults sets those of all areas at once.
package sillstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Faults are the faults of one area. The zero Faults has none.
type Faults struct {
	// Down refuses every call with 503; nothing takes effect.
	Down bool `json:"down,omitempty"`
	// SlowMS delays every call by this many milliseconds before it takes effect.
	SlowMS int `json:"slow-ms,omitempty"`
	// AnswerLost closes the connection of every call without an answer after the call has taken effect.
	AnswerLost bool `json:"answer-lost,omitempty"`
	// AnswerLostNext does the same to the next calls only.
	AnswerLostNext int `json:"answer-lost-next,omitempty"`
	// FailShare is the share of calls, 0 to 1, refused with 503 without effect.
	FailShare float64 `json:"fail-share,omitempty"`
	// FailNext refuses the next calls with 503 without effect.
	FailNext int `json:"fail-next,omitempty"`
	// LateMS makes reports (load, cache events, instances) older by this many milliseconds.
	LateMS int `json:"late-ms,omitempty"`
	// Gapped leaves out every n-th event of a report; 0 leaves out none.
	Gapped int `json:"gapped,omitempty"`
	// CrashOnBody crashes the stand-in at a call whose body holds this text.
	CrashOnBody string `json:"crash-on-body,omitempty"`
	// Silent accepts calls and never answers them; nothing takes effect.
	Silent bool `json:"silent,omitempty"`
	// FailLoad makes weight loads fail without effect.
	FailLoad bool `json:"fail-load,omitempty"`
	// RequestLimit is named in every answer as the requests a second that the stand-in takes;
	// "" names none. It refuses none beyond it.
	RequestLimit string `json:"request-limit,omitempty"`
	// HalfLoad makes weight loads take effect and answer as failed.
	HalfLoad bool `json:"half-load,omitempty"`
}

// maxBodyBytes bounds the body of one call.
const maxBodyBytes = 64 << 20

// PanelConfig holds what a Panel needs.
type PanelConfig struct {
	// Areas names the areas whose faults can be set.
	Areas []string
	// Seed seeds the choice of the calls that FailShare refuses.
	Seed uint64
	// OnCrash is called at each simulated crash, before the running calls lose
	// their context, so that it can distinguish them from calls whose caller disconnected. It may
	// be nil.
	OnCrash func()
}

// Panel keeps the faults of a stand-in and applies them to its handlers.
// It is safe for concurrent use.
type Panel struct {
	cfg PanelConfig

	mu     sync.Mutex
	faults map[string]Faults
	rng    *rand.Rand
	// runCtx ends at a crash; running calls end with it.
	runCtx context.Context
	endRun context.CancelFunc
	// closers close the idle connections of the servers at a crash.
	closers []func()
}

// NewPanel returns a panel without faults.
func NewPanel(cfg PanelConfig) *Panel {
	p := &Panel{cfg: cfg, faults: map[string]Faults{}, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	p.runCtx, p.endRun = context.WithCancel(context.Background())
	return p
}

// Get returns the faults of an area.
func (p *Panel) Get(area string) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[area]
}

// Set replaces the faults of all areas. It errs at an unknown area.
func (p *Panel) Set(faults map[string]Faults) error {
	for area := range faults {
		if !p.hasArea(area) {
			return eris.Errorf("sillstandin.Set: unknown area %q: use one of %v", area, p.cfg.Areas)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	return nil
}

func (p *Panel) hasArea(area string) bool {
	for _, a := range p.cfg.Areas {
		if a == area {
			return true
		}
	}
	return false
}

// Crash calls OnCrash, then drops every running call and every connection.
func (p *Panel) Crash() {
	if p.cfg.OnCrash != nil {
		p.cfg.OnCrash()
	}
	p.mu.Lock()
	p.endRun()
	p.runCtx, p.endRun = context.WithCancel(context.Background())
	closers := p.closers
	p.mu.Unlock()
	for _, c := range closers {
		c()
	}
}

func (p *Panel) onCrash(closer func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closers = append(p.closers, closer)
}

// verdict is what the faults do to one call.
type verdict struct {
	Faults
	refuse bool
	lose   bool
	runCtx context.Context
}

// next takes the faults of one call and uses up the counted ones.
func (p *Panel) next(area string) verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults[area]
	v := verdict{Faults: f, runCtx: p.runCtx, refuse: f.Down, lose: f.AnswerLost}
	if f.FailNext > 0 {
		f.FailNext--
		v.refuse = true
	}
	if f.FailShare > 0 && p.rng.Float64() < f.FailShare {
		v.refuse = true
	}
	if f.AnswerLostNext > 0 && !v.refuse {
		f.AnswerLostNext--
		v.lose = true
	}
	if p.faults != nil {
		p.faults[area] = f
	}
	return v
}

// Wrap returns the handler with the faults of the area applied.
func (p *Panel) Wrap(area string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v := p.next(area)
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		stop := context.AfterFunc(v.runCtx, cancel)
		defer stop()
		if v.Silent {
			<-ctx.Done()
			panic(http.ErrAbortHandler)
		}
		if v.SlowMS > 0 {
			sleep(ctx, time.Duration(v.SlowMS)*time.Millisecond)
		}
		if v.refuse {
			Refuse(w, http.StatusServiceUnavailable, "refused by a fault of the stand-in")
			return
		}
		if v.RequestLimit != "" {
			w.Header().Set("Request-Limit", v.RequestLimit)
		}
		r = r.WithContext(ctx)
		if v.CrashOnBody != "" && bodyHolds(r, v.CrashOnBody) {
			p.Crash()
			panic(http.ErrAbortHandler)
		}
		if v.lose {
			h(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
		if v.runCtx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// bodyHolds returns whether the body holds the text. The body can be read again.
func bodyHolds(r *http.Request, text string) bool {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	return bytes.Contains(b, []byte(text))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// discard takes an answer that is lost.
type discard struct {
	header http.Header
}

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

// AnswerIsLost returns whether the answer of a handler will not reach the caller.
func AnswerIsLost(w http.ResponseWriter) bool {
	_, lost := w.(*discard)
	return lost
}

// ServeFaults answers POST /standin/faults: the faults of all areas, keyed by
// area. An unknown area or field is refused with 400 and changes nothing.
func (p *Panel) ServeFaults(w http.ResponseWriter, r *http.Request) {
	faults := map[string]Faults{}
	if err := Decode(r, &faults); err != nil {
		Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := p.Set(faults); err != nil {
		Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// ServeCrash answers POST /standin/crash: a simulated crash. The answer leaves
// first, since the crash closes its connection as well.
func (p *Panel) ServeCrash(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusNoContent)
	// A writer that cannot flush answers at the end of the call.
	_ = http.NewResponseController(w).Flush()
	p.Crash()
}

// Decode reads one JSON value; unknown fields and a second value are errors.
func Decode(r *http.Request, into any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return eris.Wrap(err, "sillstandin.Decode")
	}
	if err := d.Decode(&struct{}{}); !errors.Is(err, io.EOF) {
		return eris.New("sillstandin.Decode: send one JSON value")
	}
	return nil
}

// Answer writes a JSON value with the status.
func Answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone; nobody else can be told.
	_ = json.NewEncoder(w).Encode(value)
}

type refusal struct {
	Error string `json:"error"`
}

// Refuse writes an error with the status.
func Refuse(w http.ResponseWriter, status int, text string) {
	Answer(w, status, refusal{Error: text})
}
