package sillusage

import (
	"sort"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// MeterConfig configures a Meter.
type MeterConfig struct {
	// Agent is the meter's name, unique to each run.
	Agent sillid.AgentID
	// WindowLength must be the same in every process.
	WindowLength time.Duration
}

// Meter counts the usage of one target. It is safe for concurrent use.
type Meter struct {
	length time.Duration

	mu    sync.Mutex
	agent sillid.AgentID
	// sequence is the last record's sequence number.
	sequence uint64
	// durable is the highest sequence number known to be in the table.
	durable uint64
	// floor is the earliest window in which a record may be reported. It only grows.
	floor  Window
	totals map[totalKey]Figures
	// pending are the records above durable, in order.
	pending []Record
}

// NewMeter returns a meter without records.
func NewMeter(cfg MeterConfig) *Meter {
	return &Meter{length: cfg.WindowLength, agent: cfg.Agent, totals: make(map[totalKey]Figures)}
}

// Add counts a request that ended at now and returns its record, which the agent
// sends to the gateway with the end of the response.
func (m *Meter) Add(now time.Time, org sillid.OrganisationID, route sillid.RouteID, f Figures) Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	origin := WindowOf(now, m.length)
	record := Record{
		Agent:        m.agent,
		Sequence:     m.sequence,
		Organisation: org,
		Window:       origin,
		Route:        route,
		Figures:      f,
	}
	key := totalKey{organisation: org, window: max(origin, m.floor), origin: origin}
	m.totals[key] = m.totals[key].Plus(f)
	m.pending = append(m.pending, record)
	return record
}

// DurableSequence returns the sequence number up to which all records are known to
// be in the table.
func (m *Meter) DurableSequence() DurableSequence {
	m.mu.Lock()
	defer m.mu.Unlock()
	return DurableSequence{Agent: m.agent, Sequence: m.durable}
}

// Pending returns the number of records that are not known to be in the table.
func (m *Meter) Pending() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.pending)
}

// snapshot returns the row as of now. Later records are no longer counted in windows
// that end by now, whether the row is written or not.
func (m *Meter) snapshot(now time.Time, final bool) (sillid.AgentID, agentRow) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.floor = max(m.floor, WindowOf(now, m.length))
	watermark := max(now.UnixMilli(), int64(m.floor))
	row := agentRow{Covered: m.sequence, Watermark: watermark, Final: final}
	for k, f := range m.totals {
		row.Totals = append(row.Totals, totalRow{
			Organisation: k.organisation,
			Window:       k.window,
			Origin:       k.origin,
			Figures:      f,
		})
	}
	sortTotals(row.Totals)
	return m.agent, row
}

func sortTotals(totals []totalRow) {
	sort.Slice(totals, func(i, j int) bool {
		a, b := totals[i], totals[j]
		if a.Window != b.Window {
			return a.Window < b.Window
		}
		if a.Origin != b.Origin {
			return a.Origin < b.Origin
		}
		return a.Organisation < b.Organisation
	})
}

// markDurable records that the table holds the records up to covered.
func (m *Meter) markDurable(covered uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.durable = max(m.durable, covered)
	n := 0
	for n < len(m.pending) && m.pending[n].Sequence <= m.durable {
		n++
	}
	m.pending = append([]Record(nil), m.pending[n:]...)
}

// raiseFloor moves the totals of windows before floor into floor. It is called
// before the first row with totals is written.
func (m *Meter) raiseFloor(floor Window) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.floor = max(m.floor, floor)
	for k, f := range m.totals {
		if k.window >= m.floor {
			continue
		}
		delete(m.totals, k)
		k.window = m.floor
		m.totals[k] = m.totals[k].Plus(f)
	}
}

// dropFrozen drops the totals of frozen windows.
func (m *Meter) dropFrozen(firstOpen Window) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k := range m.totals {
		if k.window < firstOpen {
			delete(m.totals, k)
		}
	}
}

// restart restarts the meter under a new name and returns the old one with the
// records that its row does not cover.
func (m *Meter) restart(name sillid.AgentID, covered uint64) (sillid.AgentID, []Record) {
	m.markDurable(covered)
	m.mu.Lock()
	defer m.mu.Unlock()
	old, pending := m.agent, m.pending
	m.agent = name
	m.sequence, m.durable = 0, 0
	m.totals = make(map[totalKey]Figures)
	m.pending = nil
	return old, pending
}
