package sillrollout

import (
	"slices"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// DeliveryFormed records that the delivery of groups is stored, which settles them.
func (b *Batch) DeliveryFormed(groups []int) {
	for _, g := range groups {
		b.groups[g].state = settled
		b.groups[g].samples = nil
	}
}

// DeliveryFailed records that the delivery of groups could not be stored. The groups
// are open again, so that Next retries.
func (b *Batch) DeliveryFailed(groups []int) {
	for _, g := range groups {
		if b.groups[g].state == delivering {
			b.groups[g].state = open
		}
	}
}

// WithdrawnGroups returns the groups that the batch counts as settled and that the
// list of settled groups in the batch row lacks, since their delivery was withdrawn.
func (b *Batch) WithdrawnGroups(settledGroups []int) []int {
	var withdrawn []int
	for g := range b.groups {
		if b.groups[g].state == settled && !slices.Contains(settledGroups, g) {
			withdrawn = append(withdrawn, g)
		}
	}
	return withdrawn
}

// ReopenGroups resets groups whose delivery was withdrawn, so that all their samples
// are generated again.
func (b *Batch) ReopenGroups(groups []int) {
	for _, g := range groups {
		b.Stats.OverBound += b.cfg.Spec.GroupSize
		b.groups[g] = b.newGroup(g)
	}
}

// DeliverySamples returns the scored samples of groups that Next listed to deliver.
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
