// Package sillstandservice stands in for a plain booking service.
package sillstandservice

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandin"
)

// Areas of the service.
const (
	areaBookings     = "bookings"
	areaAvailability = "availability"
)

// requestIDHeader names the request towards the service.
const requestIDHeader = "X-Request-Id"

// Config holds what a service needs.
type Config struct {
	// ServiceID names the service in its answers.
	ServiceID string
	// Latency is the time that one call takes once it has a slot.
	Latency time.Duration
	// Slots is the number of calls that run at once; 0 stands for DefaultSlots.
	Slots int
	// Seed seeds the faults.
	Seed uint64
}

// DefaultSlots is the number of slots of a service whose configuration leaves it 0.
const DefaultSlots = 16

// Run is one call that the service ran.
type Run struct {
	// RequestID is the value of the X-Request-Id header.
	RequestID string `json:"request-id"`
	// Number counts the runs of this service from 1.
	Number int `json:"number"`
	// ServiceID names the service.
	ServiceID string `json:"service-id"`
	// Start and End are in Unix milliseconds; End is 0 while the call runs.
	Start int64 `json:"start"`
	End   int64 `json:"end"`
	// Complete is whether the service reached the end of the call.
	Complete bool `json:"complete"`
	// Effect is whether a booking was entered. It may be true without Complete.
	Effect bool `json:"effect"`
	// AnswerLost is whether a fault of the stand-in dropped the answer.
	AnswerLost bool `json:"answer-lost"`
	// Answer is the body that was answered.
	Answer string `json:"answer"`
	// Seen is the call as received.
	Seen sillstandin.Seen `json:"seen"`
}

// Service is an http.Handler that books without any check for repeats.
type Service struct {
	// Panel sets the faults.
	Panel *sillstandin.Panel

	cfg    Config
	router *sillstandin.Router
	slots  chan struct{}

	mu   sync.Mutex
	runs []*Run
	// crashes counts the simulated crashes.
	crashes int
}

// New returns a service.
func New(cfg Config) *Service {
	if cfg.Slots == 0 {
		cfg.Slots = DefaultSlots
	}
	s := &Service{cfg: cfg, slots: make(chan struct{}, cfg.Slots)}
	s.Panel = sillstandin.NewPanel(sillstandin.PanelConfig{
		Areas:   []string{areaBookings, areaAvailability},
		Seed:    cfg.Seed,
		OnCrash: s.noteCrash,
	})
	s.router = sillstandin.NewRouter(s.Panel)
	s.router.Handle(areaBookings, http.MethodPost, "/bookings", s.book)
	s.router.Handle(areaAvailability, http.MethodGet, "/availability", s.availability)
	s.router.HandleControl(http.MethodPost, "/standin/crash", s.Panel.ServeCrash)
	s.router.HandleControl(http.MethodGet, "/standin/record", s.record)
	return s
}

// ServeHTTP answers one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

func (s *Service) noteCrash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes++
}

// take waits for a slot; it returns false if the caller disconnects before.
func (s *Service) take(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) start(r *http.Request, effect bool) (*Run, error) {
	seen, err := sillstandin.See(r)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	run := &Run{
		RequestID: r.Header.Get(requestIDHeader),
		Number:    len(s.runs) + 1,
		ServiceID: s.cfg.ServiceID,
		Start:     seen.At,
		Effect:    effect,
		Seen:      seen,
	}
	s.runs = append(s.runs, run)
	return run, nil
}

// work spends the latency of the call; it reports false if the caller left.
func (s *Service) work(ctx context.Context) bool {
	t := time.NewTimer(s.cfg.Latency)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) loseAnswer(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.AnswerLost = true
}

func (s *Service) finish(run *Run, answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.End = time.Now().UnixMilli()
	run.Complete = true
	run.Answer = cut(answer)
}

// keptBytes is what the record keeps of a body and of an answer: it grows with every call.
const keptBytes = 64 << 10

// cut returns the part of a text that the record keeps.
func cut(text string) string {
	if len(text) <= keptBytes {
		return text
	}
	return strings.Clone(text[:keptBytes])
}

// shorten leaves the record the part of a body that it keeps.
func (s *Service) shorten(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Seen.Body = cut(run.Seen.Body)
}

type bookingAnswer struct {
	Booking   string          `json:"booking"`
	RequestID string          `json:"request-id"`
	ServiceID string          `json:"service-id"`
	Echo      json.RawMessage `json:"echo"`
}

type availabilityAnswer struct {
	RequestID string `json:"request-id"`
	ServiceID string `json:"service-id"`
	Query     string `json:"query"`
	Free      int    `json:"free"`
}

// freeUnits is the answer to every availability call.
const freeUnits = 7

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	s.run(w, r, true, http.StatusCreated, func(run *Run) any {
		echo := json.RawMessage(run.Seen.Body)
		if !json.Valid(echo) {
			quoted, _ := json.Marshal(run.Seen.Body)
			echo = quoted
		}
		return bookingAnswer{
			Booking:   fmt.Sprintf("%s-%d", s.cfg.ServiceID, run.Number),
			RequestID: run.RequestID,
			ServiceID: s.cfg.ServiceID,
			Echo:      echo,
		}
	})
}

func (s *Service) availability(w http.ResponseWriter, r *http.Request) {
	s.run(w, r, false, http.StatusOK, func(run *Run) any {
		return availabilityAnswer{
			RequestID: run.RequestID,
			ServiceID: s.cfg.ServiceID,
			Query:     run.Seen.Query,
			Free:      freeUnits,
		}
	})
}

func (s *Service) run(w http.ResponseWriter, r *http.Request, effect bool, status int, answer func(*Run) any) {
	if !s.take(r.Context()) {
		return
	}
	defer func() { <-s.slots }()
	run, err := s.start(r, effect)
	if err != nil {
		sillstandin.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	defer s.shorten(run)
	if sillstandin.AnswerIsLost(w) {
		s.loseAnswer(run)
	}
	if !s.work(r.Context()) {
		return
	}
	body, err := json.Marshal(answer(run))
	if err != nil {
		sillstandin.Refuse(w, http.StatusInternalServerError, err.Error())
		return
	}
	s.finish(run, string(body))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

type recordAnswer struct {
	ServiceID string         `json:"service-id"`
	Crashes   int            `json:"crashes"`
	Counts    map[string]int `json:"counts"`
	Runs      []Run          `json:"runs"`
}

// Runs returns all runs; those of one request unless requestID is empty.
func (s *Service) Runs(requestID string) []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := []Run{}
	for _, r := range s.runs {
		if requestID == "" || r.RequestID == requestID {
			runs = append(runs, *r)
		}
	}
	return runs
}

func (s *Service) record(w http.ResponseWriter, r *http.Request) {
	answer := recordAnswer{ServiceID: s.cfg.ServiceID, Counts: map[string]int{}}
	answer.Runs = s.Runs(r.URL.Query().Get("request_id"))
	for _, run := range answer.Runs {
		answer.Counts[run.RequestID]++
	}
	s.mu.Lock()
	answer.Crashes = s.crashes
	s.mu.Unlock()
	sillstandin.Answer(w, http.StatusOK, answer)
}
