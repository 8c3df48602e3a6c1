package sillreport

import (
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func (a *auditor) checkSamples() {
	first := map[sillid.SampleID]*Sample{}
	for i := range a.evidence.Samples {
		s := &a.evidence.Samples[i]
		a.checkSample(s)
		f, seen := first[s.SampleID]
		if !seen {
			first[s.SampleID] = s
			continue
		}
		if f.Delivery != s.Delivery {
			a.find(SampleDoubled, s.SampleID.String(), "in the deliveries %s and %s", f.Delivery, s.Delivery)
		} else if f.ContentKey != s.ContentKey {
			a.find(SampleDoubled, s.SampleID.String(), "two contents in the delivery %s", s.Delivery)
		}
	}
}

// checkSample holds the age and each token of a sample against the records.
func (a *auditor) checkSample(s *Sample) {
	name := s.SampleID.String()
	if n := s.Staleness(); n > s.Bound {
		a.find(SampleStale, name, "%d versions old, bound %d", n, s.Bound)
	}
	runs := a.byPrompt[s.Prompt]
	if len(runs) == 0 {
		a.find(Lost, name, "delivered, but no engine has a run of its prompt")
		return
	}
	for i, token := range s.Tokens {
		made, attributed := produced(runs, i, token, versionAt(s.Spans, i))
		if !made {
			a.find(Mismatch, name, "token %d was made by no run of its prompt", i)
			return
		}
		if !attributed {
			a.find(WrongVersion, name, "token %d was told as of version %d", i, versionAt(s.Spans, i))
			return
		}
	}
}

func (a *auditor) checkBatches() {
	for _, b := range a.evidence.Batches {
		if b.Ended && b.Delivered < b.Asked && b.Done < b.Deadline {
			a.find(SampleMissing, string(b.Batch), "done before its deadline with %d of %d samples", b.Delivered, b.Asked)
		}
		if !b.Ended && b.Done > b.Deadline {
			a.find(BatchUnended, string(b.Batch), "not done %d ms after its deadline, with %d of %d samples", b.Done-b.Deadline, b.Delivered, b.Asked)
		}
	}
}
