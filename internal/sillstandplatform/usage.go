package sillstandplatform

import (
	"net/http"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// UsageReport is a usage report as received.
type UsageReport struct {
	// ReportID names the report; a repeated send carries the same.
	ReportID string `json:"report-id"`
	// Organisation is the organisation that the figures belong to.
	Organisation sillid.OrganisationID `json:"organisation"`
	// WindowStart is in Unix milliseconds, WindowSeconds the window's length.
	WindowStart   int64 `json:"window-start"`
	WindowSeconds int64 `json:"window-seconds"`
	// The figures of the window.
	Requests            int64         `json:"requests"`
	PromptTokens        sillid.Tokens `json:"prompt-tokens"`
	CompletionTokens    sillid.Tokens `json:"completion-tokens"`
	ServiceMilliseconds int64         `json:"service-milliseconds"`
	// ReceivedAt is the time of receipt in Unix milliseconds.
	ReceivedAt int64 `json:"received-at,omitempty"`
}

// sameFigures returns whether two reports of a window have the same figures.
func (u UsageReport) sameFigures(v UsageReport) bool {
	u.ReceivedAt = 0
	v.ReceivedAt = 0
	return u == v
}

func (p *Platform) serveUsage(w http.ResponseWriter, r *http.Request) {
	var u UsageReport
	if err := sillstandin.Decode(r, &u); err != nil {
		sillstandin.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if u.ReportID == "" || u.Organisation == "" || u.WindowStart <= 0 || u.WindowSeconds <= 0 {
		sillstandin.Refuse(w, http.StatusBadRequest, "report-id, organisation, window-start, window-seconds: give all")
		return
	}
	u.ReceivedAt = time.Now().UnixMilli()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage = append(p.usage, u)
	w.WriteHeader(http.StatusOK)
}

// UsageReports returns every received report in the order of receipt.
func (p *Platform) UsageReports() []UsageReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.usage)
}

// UsageWindow holds the reports of one organisation and window.
type UsageWindow struct {
	// Organisation and WindowStart name the window.
	Organisation sillid.OrganisationID `json:"organisation"`
	WindowStart  int64                 `json:"window-start"`
	// Received counts the reports.
	Received int `json:"received"`
	// Differing is whether two reports of the window differ in any field,
	// their id included.
	Differing bool `json:"differing"`

	first UsageReport
}

// Windows returns the reported windows in the order of their first report.
func Windows(reports []UsageReport) []UsageWindow {
	type name struct {
		organisation sillid.OrganisationID
		start        int64
	}
	at := map[name]int{}
	windows := []UsageWindow{}
	for _, u := range reports {
		n := name{u.Organisation, u.WindowStart}
		i, ok := at[n]
		if !ok {
			at[n] = len(windows)
			windows = append(windows, UsageWindow{
				Organisation: u.Organisation, WindowStart: u.WindowStart, Received: 1, first: u,
			})
			continue
		}
		windows[i].Received++
		if !windows[i].first.sameFigures(u) {
			windows[i].Differing = true
		}
	}
	return windows
}

type recordAnswer struct {
	Table        tableCounts   `json:"table"`
	Objects      []string      `json:"objects"`
	Orders       []Order       `json:"orders"`
	Instances    []Instance    `json:"instances"`
	Usage        []UsageReport `json:"usage"`
	UsageWindows []UsageWindow `json:"usage-windows"`
	WeightReads  int           `json:"weight-reads"`
}

// Orders returns every order in the order of its effect.
func (p *Platform) Orders() []Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	orders := []Order{}
	for _, o := range p.orderLog {
		orders = append(orders, *o)
	}
	return orders
}

func (p *Platform) serveRecord(w http.ResponseWriter, _ *http.Request) {
	usage := p.UsageReports()
	answer := recordAnswer{Orders: p.Orders(), Usage: usage, UsageWindows: Windows(usage), Objects: []string{}}
	if answer.Usage == nil {
		answer.Usage = []UsageReport{}
	}
	p.mu.Lock()
	answer.Table = p.counts
	answer.Instances = p.instances.now()
	answer.WeightReads = p.downloads
	for name := range p.objects {
		answer.Objects = append(answer.Objects, name)
	}
	p.mu.Unlock()
	slices.Sort(answer.Objects)
	sillstandin.Answer(w, http.StatusOK, answer)
}
