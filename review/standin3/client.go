package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// client sends each request on a new connection.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return "status " + strconv.Itoa(a.status)
}

// call sends one client attempt to a gateway.
func (w *world) call(gateway int, method, path, key string, header map[string]string, body []byte, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.gateways[gateway]+path, bytes.NewReader(body))
	must(err)
	r.Host = hostName
	r.Header.Set("Api-Key", key)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: b, err: err}
}

var lastID atomic.Int64

func newID(kind string) string { return fmt.Sprintf("%s%08x", kind, lastID.Add(1)) }

// item is an item of a job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
	Scorer  *scorer           `json:"scorer,omitempty"`
}

type scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// job is a batch job as it is submitted.
type job struct {
	id          string
	key         string
	Step        int    `json:"step"`
	Model       string `json:"model"`
	MinVersion  int    `json:"min_version"`
	TargetCount int    `json:"target_count"`
	Requests    []item `json:"requests"`
}

// newJob returns a job of groups with some items each.
func newJob(key string, groups, size int) *job {
	j := &job{id: newID("b"), key: key, Model: model, TargetCount: (groups*9 + 9) / 10}
	for g := range groups {
		for range size {
			id := newID("e")
			j.Requests = append(j.Requests, item{
				ID: id, Path: jobPath + "3/91c4", Body: []byte("body of " + id), Tokens: 940, Group: fmt.Sprintf("%s-g%d", j.id, g),
				Headers: map[string]string{"X-Model": model, "X-Token-Count": "540,400", "X-Prompt-Prefix": "9c2e41:300,5d07b8:240"},
				Scorer:  &scorer{ID: newID("c"), Host: hostName, Path: scorePath + "5e07", Body: []byte("score of " + id)},
			})
		}
	}
	return j
}

// submit submits a job, again at other gateways after failures, as clients do.
func (w *world) submit(j *job, first int, limit time.Duration) answer {
	body, err := json.Marshal(j)
	must(err)
	var a answer
	gateway := first
	for end := time.Now().Add(limit); time.Now().Before(end); {
		a = w.call(gateway%len(w.gateways), http.MethodPost, jobPath+j.id, j.key, map[string]string{"X-Request-Id": j.id, "Content-Type": "application/json"}, body, 4*time.Second)
		if a.err == nil && a.status == http.StatusAccepted || a.status == http.StatusBadRequest {
			return a
		}
		gateway++
		time.Sleep(100 * time.Millisecond)
	}
	return a
}

type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
	Score string `json:"score"`
}

type results struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// read reads the results of a job until all are listed or a time is over, and returns them with the
// last answer.
func (w *world) read(j *job, first int, limit time.Duration) ([]result, answer) {
	var all []result
	var a answer
	gateway := first
	for end := time.Now().Add(limit); time.Now().Before(end) && len(all) < len(j.Requests); gateway++ {
		a = w.call(gateway%len(w.gateways), http.MethodGet, fmt.Sprintf("/-/lots/%s?after=%d", j.id, len(all)), j.key, map[string]string{"X-Request-Id": newID("r"), "X-Wait-Ms": "1000"}, nil, 2500*time.Millisecond)
		var page results
		if a.err == nil && a.status == http.StatusOK && json.Unmarshal(a.body, &page) == nil {
			all = append(all, page.Results...)
			continue
		}
		time.Sleep(200 * time.Millisecond)
	}
	return all, a
}

// end ends a job.
func (w *world) end(j *job, gateway int) answer {
	return w.call(gateway, http.MethodDelete, "/-/lots/"+j.id, j.key, map[string]string{"X-Request-Id": newID("d")}, nil, 2500*time.Millisecond)
}

// ask sends an ordinary request of the plain service.
func (w *world) ask(gateway int, key string) answer {
	id := newID("a")
	return w.call(gateway, http.MethodPost, appPath+"2f", key, map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "2000"}, []byte("question"), 2*time.Second)
}

func encode(j *job) []byte {
	b, err := json.Marshal(j)
	must(err)
	return b
}

// useModel makes the items of a job ones of another model.
func (j *job) useModel(m string) {
	j.Model = m
	for i := range j.Requests {
		j.Requests[i].Headers["X-Model"] = m
	}
}
