package silllease

import (
	"encoding/json"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Key returns the key of the lease row of a lease.
func Key(name string) string { return "lease/" + name }

// EpochKey returns the key of the epoch row of a lease.
func EpochKey(name string) string { return "lease-epoch/" + name }

type leaseRow struct {
	// Holder is empty after a release.
	Holder     Owner        `json:"holder"`
	Epoch      sillid.Epoch `json:"epoch"`
	DurationMS int64        `json:"duration-ms"`
}

func (r leaseRow) duration() time.Duration {
	return time.Duration(r.DurationMS) * time.Millisecond
}

type epochRow struct {
	Holder Owner        `json:"holder"`
	Epoch  sillid.Epoch `json:"epoch"`
}

// encode returns a row as JSON. Rows hold only strings and numbers, so encoding
// cannot fail.
func encode(row any) []byte {
	b, _ := json.Marshal(row)
	return b
}
