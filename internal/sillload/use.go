package sillload

import (
	"context"
	"net/http"

	"github.com/wasabisill/wasabisill/internal/sillreport"
)

func (r *runner) uses() []sillreport.ProcessUse {
	if r.cfg.Uses == nil {
		return nil
	}
	return r.cfg.Uses()
}

// usedSince returns what each process used between two readings. A process that
// started again in between counts from its start.
func usedSince(before, after []sillreport.ProcessUse) []sillreport.ProcessUse {
	cpu := map[string]float64{}
	for _, u := range before {
		cpu[u.Name] = u.CPUSeconds
	}
	for i := range after {
		if b := cpu[after[i].Name]; b <= after[i].CPUSeconds {
			after[i].CPUSeconds -= b
		}
	}
	return after
}

// tableCounts are the platform's own counts.
type tableCounts struct {
	sillreport.TableUse
}

func (c tableCounts) since(before tableCounts) sillreport.TableUse {
	return sillreport.TableUse{
		Reads:        c.Reads - before.Reads,
		Writes:       c.Writes - before.Writes,
		BytesRead:    c.BytesRead - before.BytesRead,
		BytesWritten: c.BytesWritten - before.BytesWritten,
	}
}

type tableRecord struct {
	Table tableCounts `json:"table"`
}

// tableUse reads the platform's counts; they are 0 if they cannot be read.
func tableUse(ctx context.Context, d *Deployment, client *http.Client) tableCounts {
	var r tableRecord
	if d.Platform == "" {
		return r.Table
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	// Counts are no part of the audit, which reads the record again.
	_ = getJSON(ctx, client, d.Platform+"/standin/record", &r)
	return r.Table
}
