package sillreport

import "sort"

// RoleMeasure measures the processes of one role.
type RoleMeasure struct {
	Role      string `json:"role"`
	Processes int    `json:"processes"`
	// MeanCoreShare and MaxCoreShare are processor time over the duration.
	MeanCoreShare float64 `json:"mean-core-share"`
	MaxCoreShare  float64 `json:"max-core-share"`
	// MaxPeakBytes is the largest resident size of any of the processes.
	MaxPeakBytes int64 `json:"max-peak-bytes"`
}

// TableMeasure measures the load on the platform's table.
type TableMeasure struct {
	ReadsPerSecond        float64 `json:"reads-per-second"`
	WritesPerSecond       float64 `json:"writes-per-second"`
	BytesReadPerSecond    float64 `json:"bytes-read-per-second"`
	BytesWrittenPerSecond float64 `json:"bytes-written-per-second"`
}

func measureRoles(e *Evidence, seconds float64) []RoleMeasure {
	by := map[string]*RoleMeasure{}
	for _, u := range e.Processes {
		m, ok := by[u.Role]
		if !ok {
			m = &RoleMeasure{Role: u.Role}
			by[u.Role] = m
		}
		m.Processes++
		m.MaxPeakBytes = max(m.MaxPeakBytes, u.PeakBytes)
		if seconds > 0 {
			m.MeanCoreShare += u.CPUSeconds / seconds
			m.MaxCoreShare = max(m.MaxCoreShare, u.CPUSeconds/seconds)
		}
	}
	all := []RoleMeasure{}
	for _, m := range by {
		m.MeanCoreShare /= float64(m.Processes)
		all = append(all, *m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Role < all[j].Role })
	return all
}

func measureTable(e *Evidence, seconds float64) TableMeasure {
	if seconds <= 0 {
		return TableMeasure{}
	}
	return TableMeasure{
		ReadsPerSecond:        float64(e.Table.Reads) / seconds,
		WritesPerSecond:       float64(e.Table.Writes) / seconds,
		BytesReadPerSecond:    float64(e.Table.BytesRead) / seconds,
		BytesWrittenPerSecond: float64(e.Table.BytesWritten) / seconds,
	}
}
