package silllimit

import (
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Admission limits the running requests of each organisation at one gateway. It
// is safe for concurrent use.
type Admission struct {
	mu            sync.Mutex
	organisations map[sillid.OrganisationID]*organisationUsage
}

type organisationUsage struct {
	running int
	// meanDuration is the mean time in seconds from admission to the end.
	meanDuration movingAverage
}

// NewAdmission returns an Admission with no running requests.
func NewAdmission() *Admission {
	return &Admission{organisations: make(map[sillid.OrganisationID]*organisationUsage)}
}

// Admit admits a request, or returns an OrganisationLimit problem if the
// organisation already has maxRunning running requests. The returned function
// ends the request. It must be called exactly once, with the duration of the
// request.
func (a *Admission) Admit(id sillid.OrganisationID, maxRunning int) (func(duration time.Duration), *sillproblem.Problem) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, ok := a.organisations[id]
	if !ok {
		o = &organisationUsage{}
		a.organisations[id] = o
	}
	if o.running >= maxRunning {
		p := sillproblem.New(sillproblem.OrganisationLimit, "%d of %d requests run at this gateway.", o.running, maxRunning)
		return nil, p.WithRetryAfter(o.retryAfter())
	}
	o.running++
	return func(duration time.Duration) { a.release(o, duration) }, nil
}

// retryAfter returns the expected time until the next running request ends; at
// least a second.
func (o *organisationUsage) retryAfter() time.Duration {
	wait := o.meanDuration.value / float64(max(o.running, 1))
	return max(time.Second, time.Duration(wait*float64(time.Second)))
}

func (a *Admission) release(o *organisationUsage, duration time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o.running--
	o.meanDuration.add(duration.Seconds())
}
