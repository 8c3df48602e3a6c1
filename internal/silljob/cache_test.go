package silljob

import "testing"

// TestUnfinishedTextsAreTheirOrganisations guards against two organisations, or two models, whose
// items have the same id sharing a text that one of them did not finish.
func TestUnfinishedTextsAreTheirOrganisations(t *testing.T) {
	c := NewCache()
	sub := &Submission{Organisation: "org", Model: "m"}
	c.AddUnfinished(sub, []Progress{{Item: "i", Events: []string{"secret"}}})
	for _, tc := range []struct {
		name string
		sub  Submission
		want bool
	}{
		{"same", Submission{Organisation: "org", Model: "m"}, true},
		{"other organisation", Submission{Organisation: "stranger", Model: "m"}, false},
		{"other model", Submission{Organisation: "org", Model: "n"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, ok := c.Unfinished(&tc.sub, "i"); ok != tc.want {
				t.Errorf("found %t, want %t", ok, tc.want)
			}
		})
	}
}
