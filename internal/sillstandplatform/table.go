package sillstandplatform

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// maxRows bounds the rows of one list call.
const maxRows = 1000

// tableCounts counts the calls of the table service.
type tableCounts struct {
	// Reads counts row and rows calls, Writes rows written and Commits
	// transactions that took effect.
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Commits int `json:"commits"`
	// Conflicts counts failed checks, Limited calls refused by a rate bound.
	Conflicts int `json:"conflicts"`
	Limited   int `json:"limited"`
	// BytesRead and BytesWritten count bytes of values.
	BytesRead    int `json:"bytes-read"`
	BytesWritten int `json:"bytes-written"`
}

func (p *Platform) count(f func(*tableCounts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.counts)
}

// allow takes n from a limiter, or refuses the call with 503.
func (p *Platform) allow(w http.ResponseWriter, l *rate.Limiter, n int) bool {
	if l.Limit() == rate.Inf || l.AllowN(time.Now(), min(n, l.Burst())) {
		return true
	}
	p.count(func(c *tableCounts) { c.Limited++ })
	sillstandin.Refuse(w, http.StatusServiceUnavailable, "too many table calls a second")
	return false
}

func (p *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	if !p.allow(w, p.readLimit, 1) {
		return
	}
	row, err := p.store.Get(r.Context(), r.URL.Query().Get("key"))
	p.count(func(c *tableCounts) { c.Reads++; c.BytesRead += len(row.Value) })
	if errors.Is(err, silltable.ErrNotFound) {
		sillstandin.Refuse(w, http.StatusNotFound, err.Error())
		return
	}
	sillstandin.Answer(w, http.StatusOK, row)
}

type rowsAnswer struct {
	Rows []silltable.Row `json:"rows"`
}

func (p *Platform) serveRows(w http.ResponseWriter, r *http.Request) {
	if !p.allow(w, p.readLimit, 1) {
		return
	}
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > maxRows {
		sillstandin.Refuse(w, http.StatusBadRequest, "limit: give 1 to 1000")
		return
	}
	rows, err := p.store.List(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	if err != nil {
		sillstandin.Refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	p.count(func(c *tableCounts) {
		c.Reads++
		for _, row := range rows {
			c.BytesRead += len(row.Value)
		}
	})
	if rows == nil {
		rows = []silltable.Row{}
	}
	sillstandin.Answer(w, http.StatusOK, rowsAnswer{Rows: rows})
}

type commitAnswer struct {
	Revisions []silltable.Revision `json:"revisions"`
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var txn silltable.Txn
	if err := sillstandin.Decode(r, &txn); err != nil {
		sillstandin.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if !p.allow(w, p.writeLimit, max(1, len(txn.Writes))) {
		return
	}
	revisions, err := p.store.Commit(r.Context(), txn)
	if errors.Is(err, silltable.ErrConflict) {
		p.count(func(c *tableCounts) { c.Conflicts++ })
		sillstandin.Refuse(w, http.StatusConflict, err.Error())
		return
	}
	if err != nil {
		sillstandin.Refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	p.count(func(c *tableCounts) {
		c.Commits++
		c.Writes += len(txn.Writes)
		for _, x := range txn.Writes {
			c.BytesWritten += len(x.Value)
		}
	})
	sillstandin.Answer(w, http.StatusOK, commitAnswer{Revisions: revisions})
}

type limitsRequest struct {
	TableWrites float64 `json:"table-writes"`
	TableReads  float64 `json:"table-reads"`
	WeightReads float64 `json:"weight-reads"`
}

// serveSetLimits sets the bounds a second; 0 lifts a bound.
func (p *Platform) serveSetLimits(w http.ResponseWriter, r *http.Request) {
	var req limitsRequest
	if err := sillstandin.Decode(r, &req); err != nil {
		sillstandin.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	setLimit(p.writeLimit, req.TableWrites)
	setLimit(p.readLimit, req.TableReads)
	setLimit(p.weightLimit, req.WeightReads)
	w.WriteHeader(http.StatusNoContent)
}

func setLimit(l *rate.Limiter, perSecond float64) {
	fresh := limiter(perSecond)
	l.SetBurst(fresh.Burst())
	l.SetLimit(fresh.Limit())
}
