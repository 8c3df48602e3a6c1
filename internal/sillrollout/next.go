package sillrollout

import (
	"math"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// GenerateCommand starts one run of a sample.
type GenerateCommand struct {
	Attempt  AttemptNumber
	Sample   sillid.SampleID
	Prompt   string
	Priority int
	// Avoid lists targets that failed the sample, or run it already.
	Avoid []sillid.TargetID
	// ResumeFrom is the attempt whose tokens so far the run goes on after, on a
	// target kept for long generations if there is one; 0 for none.
	ResumeFrom AttemptNumber
	// Prefix holds the tokens that the run goes on after if ResumeOf is 0 or its
	// end gave fewer; it may be empty.
	Prefix Generation
}

// ScoreCommand scores one finished generation.
type ScoreCommand struct {
	Sample sillid.SampleID
	Prompt string
	Text   string
}

// Commands are what is to be done next.
type Commands struct {
	Generate []GenerateCommand
	Score    []ScoreCommand
	Cancel   []AttemptNumber
	// Deliver lists groups whose samples, as Formed returns them, are to be delivered.
	Deliver []int
	// Drop lists groups that won't be delivered.
	Drop []int
	// Close is true once every group is settled or to be dropped.
	Close bool
}

// Quantiles of the predicted length.
const (
	orderQuantile = 0.8
	freshQuantile = 0.9
	// longQuantile is the quantile of all lengths beyond which a generation is long.
	longQuantile = 0.9
	// stragglerShare is the finished share of a group from which its rest are stragglers.
	stragglerShare = 0.75
	// stragglerFactor is how far beyond its predicted time a straggler is.
	stragglerFactor = 1.5
)

// Next returns the commands that are due and assumes that they are carried out.
func (b *Batch) Next(now time.Time) Commands {
	var c Commands
	late := !now.Before(b.deadline)
	settledGroups := 0
	for g := range b.groups {
		if b.groups[g].state == open {
			b.review(now, g, late, &c)
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

// review looks after the finished samples of one open group.
func (b *Batch) review(now time.Time, g int, late bool, c *Commands) {
	gr := &b.groups[g]
	for i := range gr.samples {
		b.reviewSample(now, sillid.SampleID{Batch: b.cfg.Spec.Batch, Group: g, Index: i}, c)
	}
	switch {
	case gr.whole == len(gr.samples):
		b.deliver(g, c)
	case late && gr.whole > 0 && b.cfg.Spec.Partial == PartialDeliver:
		b.Stats.Dropped += len(gr.samples) - gr.whole
		b.cancelGroup(g, c)
		b.deliver(g, c)
	case late || gr.lost > 0 && gr.whole+gr.lost == len(gr.samples) && b.cfg.Spec.Partial == PartialDrop:
		b.Stats.Dropped += len(gr.samples)
		b.cancelGroup(g, c)
		gr.state = settled
		c.Drop = append(c.Drop, g)
	case gr.lost > 0 && gr.whole > 0 && gr.whole+gr.lost == len(gr.samples):
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
		delete(b.where, a.number)
		b.running--
		c.Cancel = append(c.Cancel, a.number)
	}
	s.attempts = nil
}

func (b *Batch) reviewSample(now time.Time, id sillid.SampleID, c *Commands) {
	s := b.sample(id)
	if s.state != scoring && s.state != scored {
		return
	}
	// Another attempt finished first.
	b.cancelAttempts(s, c)
	oldest, ok := sillattribution.Oldest(s.generation.Spans)
	if !ok || overBound(oldest, b.version, b.cfg.Spec.StalenessBound) {
		b.Stats.OverBound++
		s.partial = Generation{}
		b.again(id, now)
		return
	}
	if s.state == scoring && !s.scoreAt.IsZero() && !now.Before(s.scoreAt) {
		s.scoreAt = time.Time{}
		c.Score = append(c.Score, ScoreCommand{Sample: id, Prompt: b.cfg.Spec.Prompts[id.Group], Text: s.generation.Text})
	}
}

// dispatch starts waiting samples within the limit, then looks after stragglers.
func (b *Batch) dispatch(now time.Time, c *Commands) {
	if b.running < b.limit {
		for _, g := range b.order() {
			if b.running >= b.limit {
				break
			}
			b.dispatchGroup(now, g, c)
		}
	}
	b.renew(now, c)
	if b.cfg.Policy.Straggler != StragglerLeave && b.cfg.Policy.Straggler != "" {
		b.stragglers(now, c)
	}
}

// order returns the groups with waiting samples in the order in which they start.
func (b *Batch) order() []int {
	var order []int
	length := make([]sillid.Tokens, len(b.groups))
	for g := range b.groups {
		if b.groups[g].state != open || b.groups[g].waiting == 0 {
			continue
		}
		order = append(order, g)
		length[g] = b.predicted(g, orderQuantile)
	}
	if !b.cfg.Policy.LongestFirst {
		return order
	}
	slices.SortStableFunc(order, func(x, y int) int { return int(length[y] - length[x]) })
	return order
}

func (b *Batch) predicted(g int, q float64) sillid.Tokens {
	return b.cfg.Predictor.quantile(b.cfg.Spec.Model, b.groups[g].hash, q, b.cfg.Spec.MaxTokens/2)
}

func (b *Batch) duration(length sillid.Tokens) time.Duration {
	return time.Duration(float64(length) / b.cfg.TokensPerSecond * float64(time.Second))
}

// fresh returns whether a sample of the group that starts now is predicted to be
// within the bound when it finishes. A sample that can't be is started only
// right after a new version, its best moment.
func (b *Batch) fresh(now time.Time, g int) bool {
	finish := now.Add(b.duration(b.predicted(g, freshQuantile)))
	moves, justMoved := b.cfg.Predictor.expected(now, finish, b.cfg.Spec.Model)
	return justMoved || !overBound(0, moves, b.cfg.Spec.StalenessBound)
}

func (b *Batch) dispatchGroup(now time.Time, g int, c *Commands) {
	gr := &b.groups[g]
	if b.cfg.Policy.HoldPredictedStale && !b.fresh(now, g) {
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
		if s.repeated {
			priority = PriorityUrgent
		}
		b.start(now, sillid.SampleID{Batch: b.cfg.Spec.Batch, Group: g, Index: i}, priority, 0, c)
	}
}

func (b *Batch) start(now time.Time, id sillid.SampleID, priority int, resumeOf AttemptNumber, c *Commands) {
	b.next++
	b.running++
	b.Stats.Started++
	s := b.sample(id)
	s.attempts = append(s.attempts, attempt{number: b.next, started: now, urgent: resumeOf != 0})
	b.where[b.next] = id
	c.Generate = append(c.Generate, GenerateCommand{
		Attempt:    b.next,
		Sample:     id,
		Prompt:     b.cfg.Spec.Prompts[id.Group],
		Priority:   priority,
		Avoid:      slices.Clone(s.avoid),
		ResumeFrom: resumeOf,
		Prefix:     b.prefix(s),
	})
}

// stragglers treats the samples that run far longer than predicted.
func (b *Batch) stragglers(now time.Time, c *Commands) {
	for g := range b.groups {
		gr := &b.groups[g]
		if gr.state != open || gr.waiting == len(gr.samples) || gr.whole == len(gr.samples) {
			continue
		}
		limit := b.stragglerLimit(g)
		for i := range gr.samples {
			if b.cfg.Policy.Straggler == StragglerMigrate && b.fast <= 0 {
				return
			}
			s := &gr.samples[i]
			if s.state == generating && len(s.attempts) == 1 && !s.attempts[0].urgent && now.Sub(s.attempts[0].started) > limit {
				b.treat(now, sillid.SampleID{Batch: b.cfg.Spec.Batch, Group: g, Index: i}, c)
			}
		}
	}
}

// stragglerLimit returns how long a sample of the group runs before it counts as
// a straggler. Migration is cheap and pays early; a second run repeats all
// tokens and waits until most of the group is whole.
func (b *Batch) stragglerLimit(g int) time.Duration {
	gr := &b.groups[g]
	if b.cfg.Policy.Straggler == StragglerMigrate {
		length := b.cfg.Predictor.model(b.cfg.Spec.Model, longQuantile, b.cfg.Spec.MaxTokens/2)
		return b.duration(length)
	}
	if b.running >= b.limit || float64(gr.whole) < stragglerShare*float64(len(gr.samples)) {
		return math.MaxInt64
	}
	return time.Duration(stragglerFactor * float64(b.duration(b.predicted(g, orderQuantile))))
}

func (b *Batch) treat(now time.Time, id sillid.SampleID, c *Commands) {
	s := b.sample(id)
	if b.cfg.Policy.Straggler == StragglerSecondAttempt {
		b.Stats.SecondAttempts++
		b.start(now, id, PriorityUrgent, 0, c)
		return
	}
	b.Stats.Migrations++
	b.fast--
	old := s.attempts[0].number
	b.cancelAttempts(s, c)
	b.start(now, id, PriorityUrgent, old, c)
}
