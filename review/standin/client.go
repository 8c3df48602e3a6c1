package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

type job struct {
	ID    string `json:"-"`
	Route string `json:"-"`

	Step        int    `json:"step"`
	Model       string `json:"model"`
	MinVersion  int    `json:"min_version"`
	TargetCount int    `json:"target_count"`
	Items       []item `json:"requests"`
}

func newJob(id, route, model string, items int) *job {
	j := &job{ID: id, Route: route, Model: model, MinVersion: 1, TargetCount: items}
	for n := range items {
		name := fmt.Sprintf("%s%04x", id, n)
		j.Items = append(j.Items, item{
			ID: name, Path: "/" + route + "/" + name, Body: []byte("words of " + name), Tokens: 300, Group: "g" + name,
			Headers: map[string]string{"X-Model": model, "X-Token-Count": "200,100", "X-Prompt-Prefix": name + ":200"},
		})
	}
	return j
}

type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// call makes a call at a gateway on a new connection and returns the status; 0 if there is
// no answer.
func (d *deployment) call(g *gateway, method, path string, header http.Header, body []byte) (int, []byte) {
	const timeout = 4 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.front()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host, req.Header = host, header
	req.Header.Set("Api-Key", key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		d.log.note("answered %s %s at %s: %v", method, path, g.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// submit sends a job once and returns the status.
func (d *deployment) submit(g *gateway, j *job) int {
	b, err := json.Marshal(j)
	if err != nil {
		return 0
	}
	header := http.Header{"Content-Type": {"application/json"}, "X-Request-Id": {j.ID}}
	status, _ := d.call(g, http.MethodPost, "/"+j.Route+"/"+j.ID, header, b)
	d.log.note("answered POST of job %s with %d items at %s: %d", j.ID, len(j.Items), g.name, status)
	return status
}

// submitUntilAccepted sends a job until it is accepted, for a time at most.
func (d *deployment) submitUntilAccepted(g *gateway, j *job, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if d.submit(g, j) == http.StatusAccepted {
			return true
		}
	}
	return false
}

// read reads the results of a job from a position on.
func (d *deployment) read(g *gateway, job string, after int) (int, page) {
	status, b := d.call(g, http.MethodGet, fmt.Sprintf("/-/lots/%s?after=%d", job, after), http.Header{"X-Wait-Ms": {"1000"}}, nil)
	var p page
	if status == http.StatusOK && json.Unmarshal(b, &p) != nil {
		status = 0
	}
	d.log.note("answered GET of job %s after %d at %s: %d, %d results of %d", job, after, g.name, status, len(p.Results), p.Total)
	return status, p
}

// readAll reads a job until all results are read, twice a second, for a time at most.
func (d *deployment) readAll(g *gateway, j *job, limit time.Duration) []result {
	var all []result
	for end := time.Now().Add(limit); time.Now().Before(end) && len(all) < len(j.Items); time.Sleep(500 * time.Millisecond) {
		if status, p := d.read(g, j.ID, len(all)); status == http.StatusOK {
			all = append(all, p.Results...)
		}
	}
	return all
}
