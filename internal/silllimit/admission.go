package silllimit

import (
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Admission bounds the running requests of each organisation at one gateway.
// It is safe for concurrent use.
type Admission struct {
	mu            sync.Mutex
	organisations map[sillid.OrganisationID]*admitted
}

type admitted struct {
	running int
	// duration is the mean time in seconds from admission to the end.
	duration average
}

// NewAdmission returns an admission with nothing running.
func NewAdmission() *Admission {
	return &Admission{organisations: make(map[sillid.OrganisationID]*admitted)}
}

// Admit admits a request, or refuses it if the organisation has highest running
// requests already. The returned function ends the request and must be called
// exactly once, with the time that the request took.
func (a *Admission) Admit(id sillid.OrganisationID, highest int) (func(took time.Duration), *sillproblem.Problem) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, ok := a.organisations[id]
	if !ok {
		o = &admitted{}
		a.organisations[id] = o
	}
	if o.running >= highest {
		p := sillproblem.New(sillproblem.OrganisationLimit, "%d of %d requests run at this gateway.", o.running, highest)
		return nil, p.WithRetryAfter(o.retryAfter())
	}
	o.running++
	return func(took time.Duration) { a.leave(o, took) }, nil
}

// retryAfter is the time until the next of the running requests is expected to end.
func (o *admitted) retryAfter() time.Duration {
	wait := o.duration.value / float64(max(o.running, 1))
	return max(time.Second, time.Duration(wait*float64(time.Second)))
}

func (a *Admission) leave(o *admitted, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o.running--
	o.duration.add(took.Seconds())
}
