package sillreport

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Report is what one run came to.
type Report struct {
	Scenario string      `json:"scenario"`
	Seed     uint64      `json:"seed"`
	Audit    Audit       `json:"audit"`
	Measures Measures    `json:"measures"`
	Faults   []FaultNote `json:"faults"`
	Series   Series      `json:"series"`
}

// Series holds the run over time, in seconds from its start.
type Series struct {
	Seconds []Second `json:"seconds"`
	// Staleness has one point for each received sample.
	Staleness []StalenessPoint `json:"staleness"`
	// Batches has one point for each batch.
	Batches []BatchPoint `json:"batches"`
	// Usage has one point for each usage report.
	Usage []UsagePoint `json:"usage"`
}

// Second is one second of the run.
type Second struct {
	Second int `json:"second"`
	// Offered and Served count calls by their scheduled time.
	Offered int `json:"offered"`
	Served  int `json:"served"`
	// Running is the mean number of runs on the targets.
	Running float64 `json:"running"`
}

// StalenessPoint is one received sample.
type StalenessPoint struct {
	Trainer  sillid.TrainerID `json:"trainer"`
	Second   float64          `json:"second"`
	Versions int              `json:"versions"`
}

// BatchPoint is one batch.
type BatchPoint struct {
	Trainer   sillid.TrainerID `json:"trainer"`
	Second    float64          `json:"second"`
	IdleShare float64          `json:"idle-share"`
}

// UsagePoint is one usage report.
type UsagePoint struct {
	Organisation sillid.OrganisationID `json:"organisation"`
	Second       float64               `json:"second"`
	// LateSeconds is the time from the window's end to the report.
	LateSeconds float64 `json:"late-seconds"`
	// Repeated tells that the window was reported before, Differing that its
	// figures then were others.
	Repeated  bool `json:"repeated"`
	Differing bool `json:"differing"`
}

// New audits and measures the evidence.
func New(e *Evidence) Report {
	a := RunAudit(e)
	faults := e.Faults
	if faults == nil {
		faults = []FaultNote{}
	}
	return Report{
		Scenario: e.Scenario, Seed: e.Seed, Audit: a, Measures: Measure(e, a),
		Faults: faults, Series: seriesOf(e),
	}
}

func (e *Evidence) second(at int64) float64 {
	return float64(at-e.Start) / millisecondsPerSecond
}

func seriesOf(e *Evidence) Series {
	s := Series{Seconds: secondsOf(e), Staleness: []StalenessPoint{}, Batches: []BatchPoint{}, Usage: []UsagePoint{}}
	for i := range e.Samples {
		x := &e.Samples[i]
		s.Staleness = append(s.Staleness, StalenessPoint{x.Trainer, e.second(x.Received), x.Staleness()})
	}
	for _, b := range e.Batches {
		if b.Done > b.Start {
			share := float64(b.IdleMilliseconds) / float64(b.Done-b.Start)
			s.Batches = append(s.Batches, BatchPoint{b.Trainer, e.second(b.Done), share})
		}
	}
	first := map[windowName]Usage{}
	for _, u := range e.Usage {
		n := windowName{u.Organisation, u.WindowStart}
		f, repeated := first[n]
		if !repeated {
			first[n] = u
			f = u
		}
		f.ReceivedAt = u.ReceivedAt
		s.Usage = append(s.Usage, UsagePoint{
			Organisation: u.Organisation, Second: e.second(u.ReceivedAt),
			LateSeconds: float64(u.lateness()) / millisecondsPerSecond,
			Repeated:    repeated, Differing: f != u,
		})
	}
	return s
}

func secondsOf(e *Evidence) []Second {
	n := int((e.End-e.Start)/millisecondsPerSecond) + 1
	seconds := make([]Second, max(0, n))
	for i := range seconds {
		seconds[i].Second = i
	}
	for _, c := range finalCalls(e.Calls) {
		i := int(e.second(c.Scheduled))
		if i < 0 || i >= n {
			continue
		}
		seconds[i].Offered++
		if c.Served() {
			seconds[i].Served++
		}
	}
	for i := range e.Runs {
		spread(seconds, e.Start, &e.Runs[i])
	}
	return seconds
}

// spread adds the time of a run to the seconds that it lies in.
func spread(seconds []Second, start int64, r *TargetRun) {
	for at := max(r.Start, start); at < r.End; {
		i := int((at - start) / millisecondsPerSecond)
		if i >= len(seconds) {
			return
		}
		end := min(r.End, start+int64(i+1)*millisecondsPerSecond)
		seconds[i].Running += float64(end-at) / millisecondsPerSecond
		at = end
	}
}

// Write stores a value as JSON in a file.
func Write(path string, value any) error {
	b, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return eris.Wrap(err, "sillreport.Write: encode")
	}
	const readable = 0o644
	return eris.Wrap(os.WriteFile(path, append(b, '\n'), readable), "sillreport.Write")
}

// Read loads a Report or an Evidence from a file.
func Read(path string, into any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "sillreport.Read")
	}
	return eris.Wrapf(json.Unmarshal(b, into), "sillreport.Read: %s", path)
}
