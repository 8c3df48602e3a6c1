package sillstandplatform

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// maxObjectBytes bounds one object.
const maxObjectBytes = 64 << 20

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("If-None-Match") != "*" {
		sillstandin.Refuse(w, http.StatusPreconditionRequired, "send If-None-Match: *; objects are never replaced")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		sillstandin.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	name := mux.Vars(r)["name"]
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.objects[name]; ok {
		sillstandin.Refuse(w, http.StatusPreconditionFailed, "the object exists")
		return
	}
	p.objects[name] = body
	w.WriteHeader(http.StatusCreated)
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	body, ok := p.objects[mux.Vars(r)["name"]]
	p.mu.Unlock()
	if !ok {
		sillstandin.Refuse(w, http.StatusNotFound, "no such object")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

// serveWeights answers bytes that depend on the model and the version alone.
func (p *Platform) serveWeights(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	n, err := strconv.ParseUint(vars["version"], 10, 64)
	version := sillid.WeightVersion(n)
	if err != nil || n == 0 || (p.cfg.MaxVersion > 0 && version > p.cfg.MaxVersion) {
		sillstandin.Refuse(w, http.StatusNotFound, "no such version")
		return
	}
	if !p.weightLimit.Allow() && p.weightLimit.Limit() != rate.Inf {
		wait := math.Ceil(1 / float64(p.weightLimit.Limit()))
		w.Header().Set("Retry-After", strconv.Itoa(int(wait)))
		sillstandin.Refuse(w, http.StatusTooManyRequests, "too many weight reads a second")
		return
	}
	p.mu.Lock()
	p.downloads++
	p.mu.Unlock()
	line := fmt.Sprintf("%s/%d\n", vars["model"], n)
	content := bytes.Repeat([]byte(line), p.cfg.WeightBytes/len(line)+1)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(content[:p.cfg.WeightBytes])
}
