package sillrollout

import (
	"slices"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// DeliveryFormed tells that the table holds the delivery of groups.
func (b *Batch) DeliveryFormed(groups []int) {
	for _, g := range groups {
		b.groups[g].state = settled
		b.groups[g].samples = nil
	}
}

// DeliveryFailed tells that the delivery of groups failed; Next tries again.
func (b *Batch) DeliveryFailed(groups []int) {
	for _, g := range groups {
		if b.groups[g].state == delivering {
			b.groups[g].state = open
		}
	}
}

// WithdrawnGroups returns the groups that the batch counts as settled and that are not
// in the list: their deliveries were withdrawn.
func (b *Batch) WithdrawnGroups(listed []int) []int {
	var back []int
	for g := range b.groups {
		if b.groups[g].state == settled && !slices.Contains(listed, g) {
			back = append(back, g)
		}
	}
	return back
}

// ReopenGroups tells that the delivery of groups was withdrawn; they start anew.
func (b *Batch) ReopenGroups(groups []int) {
	for _, g := range groups {
		b.Stats.OverBound += b.cfg.Spec.GroupSize
		b.groups[g] = b.newGroup(g)
	}
}

// DeliverySamples returns the samples of groups that Next asked to deliver.
func (b *Batch) DeliverySamples(groups []int) []Sample {
	var samples []Sample
	for _, g := range groups {
		for i, s := range b.groups[g].samples {
			if s.state != scored {
				continue
			}
			samples = append(samples, Sample{
				ID:           sillid.SampleID{Batch: b.cfg.Spec.Batch, Group: g, Index: i},
				Prompt:       b.cfg.Spec.Prompts[g],
				Text:         s.generation.Text,
				TokenIDs:     s.generation.TokenIDs,
				Score:        s.score,
				Spans:        s.generation.Spans,
				FinishReason: s.generation.FinishReason,
			})
		}
	}
	return samples
}
