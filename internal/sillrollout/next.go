package sillrollout

import (
	"math"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// GenerateCommand starts one generation attempt of a sample.
type GenerateCommand struct {
	Attempt  AttemptNumber
	Sample   sillid.SampleID
	Prompt   string
	Priority int
	// Avoid lists the targets on which attempts of the sample failed last.
	Avoid []sillid.TargetID
	// ResumeFrom is the attempt whose tokens so far the new attempt resumes from, on
	// a target reserved for long generations if there is one; 0 for none.
	ResumeFrom AttemptNumber
	// Prefix holds the tokens to resume from if ResumeFrom is 0 or that attempt
	// ended with fewer tokens; it may be empty.
	Prefix Generation
}

// ScoreCommand scores one finished generation.
type ScoreCommand struct {
	Sample sillid.SampleID
	Prompt string
	Text   string
}

// Commands lists what the owner of a batch has to do next.
type Commands struct {
	Generate []GenerateCommand
	Score    []ScoreCommand
	Cancel   []AttemptNumber
	// Deliver lists groups to be delivered; DeliverySamples returns their samples.
	Deliver []int
	// Drop lists groups that won't be delivered.
	Drop []int
	// Close is true once every group is settled or to be dropped.
	Close bool
}

// Parameters of the scheduling decisions.
const (
	// orderQuantile is the quantile of the predicted length that orders the groups.
	orderQuantile = 0.9
	// freshQuantile is the quantile of the predicted length that is checked against
	// the staleness bound.
	freshQuantile = 0.9
	// longQuantile is the quantile of a model's lengths beyond which a generation is long.
	longQuantile = 0.9
	// stragglerShare is the share of a group's samples that must be complete before
	// the others can count as stragglers.
	stragglerShare = 0.75
	// stragglerFactor times the predicted duration is the running time beyond which
	// a sample is a straggler.
	stragglerFactor = 1.5
)

// Next returns the commands that are due. The caller must execute all of them, since
// the batch records them as done.
func (b *Batch) Next(now time.Time) Commands {
	var c Commands
	late := !now.Before(b.deadline)
	settledGroups := 0
	for g := range b.groups {
		if b.groups[g].state == open {
			b.reviewGroup(now, g, late, &c)
		}
		if b.groups[g].state == settled {
			settledGroups++
		}
	}
	c.Close = settledGroups == len(b.groups)
	if !late {
		b.dispatch(now, &c)
	}
	return c
}

// reviewGroup delivers or drops an open group once its samples or the deadline
// allow it.
func (b *Batch) reviewGroup(now time.Time, g int, late bool, c *Commands) {
	gr := &b.groups[g]
	for i := range gr.samples {
		b.reviewSample(now, sillid.SampleID{Batch: b.cfg.Spec.Batch, Group: g, Index: i}, c)
	}
	switch {
	case gr.complete == len(gr.samples):
		b.deliver(g, c)
	case late && gr.complete > 0 && b.cfg.Spec.Partial == PartialDeliver:
		b.Stats.Dropped += len(gr.samples) - gr.complete
		b.cancelGroup(g, c)
		b.deliver(g, c)
	case late || gr.unscorable > 0 && gr.complete+gr.unscorable == len(gr.samples) && b.cfg.Spec.Partial == PartialDrop:
		b.Stats.Dropped += len(gr.samples)
		b.cancelGroup(g, c)
		gr.state = settled
		c.Drop = append(c.Drop, g)
	case gr.unscorable > 0 && gr.complete > 0 && gr.complete+gr.unscorable == len(gr.samples):
		b.deliver(g, c)
	}
}

func (b *Batch) deliver(g int, c *Commands) {
	b.groups[g].state = delivering
	c.Deliver = append(c.Deliver, g)
}

func (b *Batch) cancelGroup(g int, c *Commands) {
	for i := range b.groups[g].samples {
		b.cancelAttempts(&b.groups[g].samples[i], c)
	}
}

func (b *Batch) cancelAttempts(s *sample, c *Commands) {
	for _, a := range s.attempts {
		delete(b.sampleOf, a.number)
		b.running--
		c.Cancel = append(c.Cancel, a.number)
	}
	s.attempts = nil
}

// reviewSample requeues a finished sample that exceeds the staleness bound, and
// requests a score call if one is due.
func (b *Batch) reviewSample(now time.Time, id sillid.SampleID, c *Commands) {
	s := b.sample(id)
	if s.state != scoring && s.state != scored {
		return
	}
	// One attempt has finished, so the others are no longer needed.
	b.cancelAttempts(s, c)
	oldest, ok := sillattribution.Oldest(s.generation.Spans)
	if !ok || overBound(oldest, b.version, b.cfg.Spec.StalenessBound) {
		b.Stats.OverBound++
		s.partial = Generation{}
		b.requeue(id, now)
		return
	}
	if s.state == scoring && !s.scoreAt.IsZero() && !now.Before(s.scoreAt) {
		s.scoreAt = time.Time{}
		c.Score = append(c.Score, ScoreCommand{Sample: id, Prompt: b.cfg.Spec.Prompts[id.Group], Text: s.generation.Text})
	}
}

// dispatch starts waiting samples within the limit, then renews long attempts and
// treats stragglers.
func (b *Batch) dispatch(now time.Time, c *Commands) {
	if b.running < b.limit {
		for _, g := range b.dispatchOrder() {
			if b.running >= b.limit {
				break
			}
			b.dispatchGroup(now, g, c)
		}
	}
	b.renew(now, c)
	if b.cfg.Policy.Straggler != StragglerLeave && b.cfg.Policy.Straggler != "" {
		b.treatStragglers(now, c)
	}
}

// dispatchOrder returns the groups with waiting samples in the order in which to
// start them.
func (b *Batch) dispatchOrder() []int {
	var order []int
	length := make([]sillid.Tokens, len(b.groups))
	for g := range b.groups {
		if b.groups[g].state != open || b.groups[g].waiting == 0 {
			continue
		}
		order = append(order, g)
		length[g] = b.predictedLength(g, orderQuantile)
	}
	if !b.cfg.Policy.LongestFirst {
		return order
	}
	slices.SortStableFunc(order, func(x, y int) int { return int(length[y] - length[x]) })
	return order
}

func (b *Batch) predictedLength(g int, q float64) sillid.Tokens {
	return b.cfg.Predictor.quantile(b.cfg.Spec.Model, b.groups[g].hash, q, b.cfg.Spec.MaxTokens/2)
}

func (b *Batch) duration(length sillid.Tokens) time.Duration {
	return time.Duration(float64(length) / b.cfg.TokensPerSecond * float64(time.Second))
}

// predictedFresh reports whether a sample of the group that starts now is predicted
// to be within the staleness bound when it finishes. A sample too long for the bound
// is started only right after a new version, when it will be least stale.
func (b *Batch) predictedFresh(now time.Time, g int) bool {
	finish := now.Add(b.duration(b.predictedLength(g, freshQuantile)))
	changes, justChanged := b.cfg.Predictor.expectedChanges(now, finish, b.cfg.Spec.Model)
	return justChanged || !overBound(0, changes, b.cfg.Spec.StalenessBound)
}

func (b *Batch) dispatchGroup(now time.Time, g int, c *Commands) {
	gr := &b.groups[g]
	if b.cfg.Policy.HoldPredictedStale && !b.predictedFresh(now, g) {
		b.Stats.HeldBack++
		return
	}
	for i := range gr.samples {
		s := &gr.samples[i]
		if b.running >= b.limit {
			return
		}
		if s.state != waiting || now.Before(s.notBefore) {
			continue
		}
		s.state = generating
		gr.waiting--
		priority := PriorityNormal
		if s.requeued {
			priority = PriorityUrgent
		}
		b.startAttempt(now, sillid.SampleID{Batch: b.cfg.Spec.Batch, Group: g, Index: i}, priority, 0, c)
	}
}

func (b *Batch) startAttempt(now time.Time, id sillid.SampleID, priority int, resumeFrom AttemptNumber, c *Commands) {
	b.lastAttempt++
	b.running++
	b.Stats.Started++
	s := b.sample(id)
	s.attempts = append(s.attempts, attempt{number: b.lastAttempt, started: now, resumed: resumeFrom != 0})
	b.sampleOf[b.lastAttempt] = id
	c.Generate = append(c.Generate, GenerateCommand{
		Attempt:    b.lastAttempt,
		Sample:     id,
		Prompt:     b.cfg.Spec.Prompts[id.Group],
		Priority:   priority,
		Avoid:      slices.Clone(s.avoid),
		ResumeFrom: resumeFrom,
		Prefix:     b.prefix(s),
	})
}

// treatStragglers applies the straggler policy to samples that run much longer than
// predicted.
func (b *Batch) treatStragglers(now time.Time, c *Commands) {
	for g := range b.groups {
		gr := &b.groups[g]
		if gr.state != open || gr.waiting == len(gr.samples) || gr.complete == len(gr.samples) {
			continue
		}
		limit := b.stragglerLimit(g)
		for i := range gr.samples {
			if b.cfg.Policy.Straggler == StragglerMigrate && b.migrationSlots <= 0 {
				return
			}
			s := &gr.samples[i]
			if s.state == generating && len(s.attempts) == 1 && !s.attempts[0].resumed && now.Sub(s.attempts[0].started) > limit {
				b.treatStraggler(now, sillid.SampleID{Batch: b.cfg.Spec.Batch, Group: g, Index: i}, c)
			}
		}
	}
}

// stragglerLimit returns how long a sample of the group runs before it counts as a
// straggler. Migration keeps the tokens so far, so it applies early. A second
// attempt repeats all tokens, so it waits until most of the group is complete and
// fewer attempts run than the limit allows.
func (b *Batch) stragglerLimit(g int) time.Duration {
	gr := &b.groups[g]
	if b.cfg.Policy.Straggler == StragglerMigrate {
		length := b.cfg.Predictor.modelQuantile(b.cfg.Spec.Model, longQuantile, b.cfg.Spec.MaxTokens/2)
		return b.duration(length)
	}
	if b.running >= b.limit || float64(gr.complete) < stragglerShare*float64(len(gr.samples)) {
		return math.MaxInt64
	}
	return time.Duration(stragglerFactor * float64(b.duration(b.predictedLength(g, orderQuantile))))
}

func (b *Batch) treatStraggler(now time.Time, id sillid.SampleID, c *Commands) {
	s := b.sample(id)
	if b.cfg.Policy.Straggler == StragglerSecondAttempt {
		b.Stats.SecondAttempts++
		b.startAttempt(now, id, PriorityUrgent, 0, c)
		return
	}
	b.Stats.Migrations++
	b.migrationSlots--
	old := s.attempts[0].number
	b.cancelAttempts(s, c)
	b.startAttempt(now, id, PriorityUrgent, old, c)
}
