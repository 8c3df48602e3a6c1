package silltarget

import (
	"errors"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// entryDelay is how old an entry may be when it arrives: the time between two heartbeats
	// of a target and the time until the feed delivers one. What happened within that time
	// is not refuted by an entry.
	entryDelay = 2500 * time.Millisecond
	// maxColdLeft bounds how long a target is cold by its own word. A value above it is
	// wrong.
	maxColdLeft = 10 * time.Minute
	// fillSpan is the time within which background requests to a warm target are counted.
	fillSpan = time.Second
)

// ColdRule configures the targets of a pool that may be cold.
type ColdRule struct {
	// PerSecond is the number of requests a second that a cold target bears; above 0.
	PerSecond sillrate.PerSecond
	// StartTime is how long a target is cold after its start.
	StartTime time.Duration

	allowance sillrate.Allowance
}

// ColdKind is what an entry or an answer says of its target being cold.
type ColdKind int

const (
	// ColdUnknown is for entries and answers that say nothing, or nothing valid.
	ColdUnknown ColdKind = iota
	// Cold targets stay cold for some time.
	Cold
	// Warm targets are not cold.
	Warm
)

// ColdNotice is what an entry or an answer says of its target being cold.
type ColdNotice struct {
	Kind ColdKind
	// Left is how much longer the target stays cold, if Kind is Cold.
	Left time.Duration
	// Invalid is whether a value was there in a form that is not defined.
	Invalid bool
}

// ColdGrant is the allowance of a target that may be cold.
type ColdGrant struct {
	Allowance sillrate.Allowance `cbor:"allowance"`
	// Unsure is whether this process assumes it only because it has just started.
	Unsure bool `cbor:"unsure,omitempty"`
}

// Reasons why a request is not sent to a target that was picked for it.
var (
	// ErrWithdrawn is the common cause.
	ErrWithdrawn = errors.New("target may not get the request any more")
	// ErrEvacuated is for targets in an evacuated availability zone.
	ErrEvacuated = withdrawn("its availability zone is evacuated")
	// ErrNotHome is for targets outside the home regions of the request.
	ErrNotHome = withdrawn("it is in no home region of the request")
	// ErrNoColdPermit is for targets that may be cold, without a valid permit.
	ErrNoColdPermit = withdrawn("it may be cold, and the request has no valid permit")
)

type withdrawn string

func (w withdrawn) Error() string { return ErrWithdrawn.Error() + ": " + string(w) }

// Unwrap returns the common cause.
func (w withdrawn) Unwrap() error { return ErrWithdrawn }

// coldState is what is known of a run being cold.
type coldState struct {
	// until is the time up to which an entry or an answer says that the target is cold;
	// answeredAt is when the last such answer arrived.
	until, answeredAt time.Time
	// presumedAt is when something happened after which the target may be cold; zero if
	// nothing did, or if the target said that it is warm since.
	presumedAt time.Time
	// unsureUntil is the time up to which nothing is known because this process has just
	// started.
	unsureUntil time.Time
	// unreachable is whether the last attempts did not reach the target.
	unreachable bool
	// deniedUntil is the time until which requests of a class get no permit.
	deniedUntil [sillrate.Classes]time.Time
	// invalidEntry is whether an entry of the run had a value in a form that is not defined.
	invalidEntry bool
	// told is whether ColdChanges last reported the target as cold.
	told bool
	// filled holds the times of the latest background requests of this process.
	filled []time.Time
}

// observe records what an entry or an answer says. asOf is the earliest time at which it may
// have been said.
func (c *coldState) observe(now, asOf time.Time, n ColdNotice, answer bool) {
	switch n.Kind {
	case Cold:
		c.until = now.Add(min(n.Left, maxColdLeft))
		if answer {
			c.answeredAt = now
		}
	case Warm:
		if asOf.After(c.answeredAt) {
			c.until = time.Time{}
		}
		if asOf.After(c.presumedAt) {
			c.presumedAt = time.Time{}
		}
		if answer {
			c.unsureUntil = time.Time{}
		}
	case ColdUnknown:
	}
}

// presume records that the target may be cold from now on.
func (c *coldState) presume(now time.Time) { c.presumedAt = now }

// recordOutcome records whether an attempt reached the target.
func (c *coldState) recordOutcome(now time.Time, o Outcome, failures int) {
	switch o {
	case Unreachable:
		c.unreachable = true
	case Broken, TimedOut, Malformed:
		// One lost response is weak evidence.
		c.unreachable = c.unreachable || failures > 1
	case Answered, Rejected, Errored, ErroredAgain:
		c.reach(now)
	case Misdirected, Abandoned, Withdrawn:
	}
}

// reach records that an answer arrived.
func (c *coldState) reach(now time.Time) {
	if c.unreachable {
		c.unreachable = false
		c.presume(now)
	}
}

// mayBeCold returns whether the target needs permits because it is or may be cold.
func (t *target) mayBeCold(now time.Time) bool {
	return t.knownCold(now) || (t.rule != nil && now.Before(t.cold.unsureUntil))
}

// knownCold is mayBeCold apart from a process that has just started.
func (t *target) knownCold(now time.Time) bool {
	if t.rule == nil {
		return false
	}
	c := &t.cold
	presumed := !c.presumedAt.IsZero() && now.Sub(c.presumedAt) < t.rule.StartTime
	return c.unreachable || presumed || now.Before(c.until)
}

// coldGrant returns the allowance of the target, or nil if it is warm.
func (t *target) coldGrant(now time.Time) *ColdGrant {
	if !t.mayBeCold(now) {
		return nil
	}
	return &ColdGrant{Allowance: t.rule.allowance, Unsure: !t.knownCold(now)}
}

// observeEntry records a new entry of the run.
func (t *target) observeEntry(now time.Time, e *Entry) {
	returned := !t.missingSince.IsZero()
	if returned {
		t.cold.presume(now)
	}
	if !returned && e.Revision == t.entry.Revision && e.Revision != 0 {
		return
	}
	asOf := now.Add(-entryDelay)
	if returned {
		// A target whose entry was gone wrote this one since.
		asOf = now.Add(time.Nanosecond)
	}
	t.cold.observe(now, asOf, e.Cold, false)
}

// begin sets the cold state of a run that is seen for the first time.
func (t *target) begin(now time.Time, settled bool) {
	e := &t.entry
	if !settled {
		t.cold.unsureUntil = now.Add(entryDelay)
	}
	switch {
	case e.Cold.Kind == Cold:
		t.cold.observe(now, now, e.Cold, false)
	case e.Cold.Kind == Warm:
	case settled:
		t.cold.presume(now)
	case e.StartedAt.Before(now):
		t.cold.presume(e.StartedAt)
	default:
		t.cold.presume(now)
	}
}

// mayFill returns whether this process may send another background request to the target,
// which it takes for warm.
func (t *target) mayFill(now time.Time) bool {
	if t.rule == nil {
		return true
	}
	recent := 0
	for _, at := range t.cold.filled {
		if now.Sub(at) < fillSpan {
			recent++
		}
	}
	return recent < t.rule.allowance.Fill
}

// recordFill records a background request, and returns whether it is the last for now.
func (t *target) recordFill(now time.Time) bool {
	if t.rule == nil {
		return false
	}
	t.cold.filled = append(t.cold.filled, now)
	if extra := len(t.cold.filled) - t.rule.allowance.Fill; extra > 0 {
		t.cold.filled = t.cold.filled[extra:]
	}
	return !t.mayFill(now)
}

// checkEntry reports the first entry of a run in a form that is not defined.
func (d *Directory) checkEntry(t *target, e *Entry) {
	if !e.Cold.Invalid || t.cold.invalidEntry {
		return
	}
	t.cold.invalidEntry = true
	if d.cfg.Cold.OnInvalidEntry != nil {
		d.cfg.Cold.OnInvalidEntry(e.Run())
	}
}

// SetColdRules replaces the rules of the pools whose targets may be cold.
func (d *Directory) SetColdRules(rules map[sillid.PoolID]ColdRule) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rules = make(map[sillid.PoolID]*ColdRule, len(rules))
	for pool, rule := range rules {
		rule.allowance = sillrate.ColdAllowance(rule.PerSecond, d.cfg.ColdOvershoot, d.cfg.ColdSlack)
		d.rules[pool] = &rule
	}
	for _, t := range d.targets {
		t.rule = d.rules[t.entry.Pool]
	}
	d.signalChange()
}

// Settle records that the whole registry was read: a target that is seen for the first time
// from now on is new, or was gone.
func (d *Directory) Settle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settled = true
}

// ObserveCold records what the answer to a request says of a run being cold. That it is warm
// counts only if the answer is signed, since others may be from something in between.
func (d *Directory) ObserveCold(sentAt, now time.Time, run Run, n ColdNotice, signed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n.Invalid && d.cfg.Cold.OnInvalid != nil {
		d.cfg.Cold.OnInvalid(run)
	}
	t := d.targets[run.Target]
	if t == nil || t.entry.Run() != run || (n.Kind == Warm && !signed) {
		return
	}
	t.cold.reach(sentAt.Add(-time.Nanosecond))
	t.cold.observe(now, sentAt, n, true)
}

// ColdGrant returns the allowance of a run, nil if it is warm, and whether this process
// knows which it is.
func (d *Directory) ColdGrant(now time.Time, run Run) (g *ColdGrant, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[run.Target]
	if t == nil || t.entry.Run() != run {
		return nil, false
	}
	g = t.coldGrant(now)
	return g, g == nil || !g.Unsure
}

// ColdHooks receive what targets say of being cold. They are called with the directory
// locked and must not call it. A nil function is skipped.
type ColdHooks struct {
	// OnInvalid is called for each answer in a form that is not defined.
	OnInvalid func(run Run)
	// OnInvalidEntry is called once for each run with an entry in such a form.
	OnInvalidEntry func(run Run)
	// OnWithdrawn is called for each request that is not sent to the target that was
	// picked for it.
	OnWithdrawn func(err error)
}

// ColdChange is a target that turned from warm to possibly cold, or back.
type ColdChange struct {
	Run  Run
	Pool sillid.PoolID
	Zone sillid.ZoneID
	Cold bool
	// Reason is why the target may be cold; empty for one that is warm.
	Reason string
	// Left is how much longer it may be cold if nothing else is heard; 0 if it is not known.
	Left time.Duration
}

// ColdChanges returns the targets that turned cold or warm since the last call.
func (d *Directory) ColdChanges(now time.Time) []ColdChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []ColdChange
	for _, t := range d.targets {
		cold := t.mayBeCold(now)
		if cold == t.cold.told {
			continue
		}
		t.cold.told = cold
		reason, left := t.coldReason(now)
		changes = append(changes, ColdChange{
			Run: t.entry.Run(), Pool: t.entry.Pool, Zone: t.entry.Zone, Cold: cold, Reason: reason, Left: left,
		})
	}
	return changes
}

// coldReason returns why the target may be cold, and for how long.
func (t *target) coldReason(now time.Time) (string, time.Duration) {
	c := &t.cold
	switch {
	case !t.mayBeCold(now):
		return "", 0
	case c.unreachable:
		return "unreachable", 0
	case now.Before(c.until):
		return "said so", c.until.Sub(now)
	case !c.presumedAt.IsZero() && now.Sub(c.presumedAt) < t.rule.StartTime:
		return "new or returned", c.presumedAt.Add(t.rule.StartTime).Sub(now)
	}
	return "gateway just started", c.unsureUntil.Sub(now)
}

// CountCold returns the number of targets that are or may be cold.
func (d *Directory) CountCold(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, t := range d.targets {
		if t.mayBeCold(now) {
			n++
		}
	}
	return n
}

// WithPermit returns the grant with the permit that was asked for at a time.
func (g Grant) WithPermit(askedAt time.Time) Grant {
	g.permittedAt = askedAt
	return g
}

// CheckSend returns an error that wraps ErrWithdrawn if a request may no longer be sent. It
// is called right before the first byte is written: waits for permits and connections may
// have taken long.
func (d *Directory) CheckSend(now time.Time, g Grant) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	err := d.checkSend(now, &g)
	if err != nil && d.cfg.Cold.OnWithdrawn != nil {
		d.cfg.Cold.OnWithdrawn(err)
	}
	return err
}

func (d *Directory) checkSend(now time.Time, g *Grant) error {
	t := g.target
	if current := d.targets[g.ID]; current != nil {
		// The target may have registered anew since it was picked.
		t = current
	}
	switch {
	case d.evacuated[t.entry.Zone]:
		return ErrEvacuated
	case !g.homes.Allows(t.region):
		return ErrNotHome
	case t.mayBeCold(now) && (g.Cold == nil || now.Sub(g.permittedAt) > sillrate.PermitValidity):
		return ErrNoColdPermit
	}
	return nil
}
