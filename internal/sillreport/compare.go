package sillreport

import (
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// Ratio sets one figure of two reports against each other.
type Ratio struct {
	Name string  `json:"name"`
	A    float64 `json:"a"`
	B    float64 `json:"b"`
	// Ratio is B divided by A; 1 if both are 0, and -1 if only A is.
	Ratio float64 `json:"ratio"`
}

// onlyA0 is the ratio of a figure that is 0 in the first report alone.
const onlyA0 = -1

func ratio(name string, a, b float64) Ratio {
	r := Ratio{Name: name, A: a, B: b}
	switch {
	case a != 0:
		r.Ratio = b / a
	case b == 0:
		r.Ratio = 1
	default:
		r.Ratio = onlyA0
	}
	return r
}

// Compare sets the figures of two reports of the same scenario and seed
// against each other, as ratios of the second to the first.
func Compare(a, b *Report) ([]Ratio, error) {
	if a.Scenario != b.Scenario || a.Seed != b.Seed {
		return nil, eris.Errorf("sillreport.Compare: %s seed %d and %s seed %d: compare runs of one scenario and seed",
			a.Scenario, a.Seed, b.Scenario, b.Seed)
	}
	ratios := []Ratio{
		ratio("audit findings", float64(len(a.Audit.Findings)), float64(len(b.Audit.Findings))),
		ratio("worst organisation, served share", a.Measures.Worst.ServedShare, b.Measures.Worst.ServedShare),
		ratio("worst organisation, p99 ms", float64(a.Measures.Worst.Latency.P99), float64(b.Measures.Worst.Latency.P99)),
		ratio("target spend, served per target second", a.Measures.Spend.ServedPerTargetSecond, b.Measures.Spend.ServedPerTargetSecond),
		ratio("tokens made", float64(a.Measures.Spend.TokensMade), float64(b.Measures.Spend.TokensMade)),
		ratio("tokens served", float64(a.Measures.Spend.TokensServed), float64(b.Measures.Spend.TokensServed)),
		ratio("usage windows late", float64(a.Measures.Usage.Late), float64(b.Measures.Usage.Late)),
		ratio("usage windows wrong", float64(a.Measures.Usage.Wrong), float64(b.Measures.Usage.Wrong)),
	}
	ratios = append(ratios, compareKinds(a.Measures.Kinds, b.Measures.Kinds)...)
	ratios = append(ratios, compareTrainers(a.Measures.Trainers, b.Measures.Trainers)...)
	ratios = append(ratios, compareRoles(a.Measures.Roles, b.Measures.Roles)...)
	return append(ratios,
		ratio("table reads a second", a.Measures.Table.ReadsPerSecond, b.Measures.Table.ReadsPerSecond),
		ratio("table writes a second", a.Measures.Table.WritesPerSecond, b.Measures.Table.WritesPerSecond),
	), nil
}

func compareKinds(a, b []KindMeasure) []Ratio {
	var ratios []Ratio
	for _, x := range a {
		for _, y := range b {
			if x.Kind != y.Kind {
				continue
			}
			ratios = append(ratios,
				ratio(string(x.Kind)+", served", float64(x.Served), float64(y.Served)),
				ratio(string(x.Kind)+", p50 ms", float64(x.Latency.P50), float64(y.Latency.P50)),
				ratio(string(x.Kind)+", p99 ms", float64(x.Latency.P99), float64(y.Latency.P99)),
			)
		}
	}
	return ratios
}

func compareTrainers(a, b []TrainerMeasure) []Ratio {
	var ratios []Ratio
	for _, x := range a {
		for _, y := range b {
			if x.Trainer != y.Trainer {
				continue
			}
			name := "trainer " + string(x.Trainer)
			ratios = append(ratios,
				ratio(name+", idle share", x.IdleShare, y.IdleShare),
				ratio(name+", mean staleness", x.MeanStaleness, y.MeanStaleness),
				ratio(name+", samples", float64(x.Delivered), float64(y.Delivered)),
				ratio(name+", step p50 ms", float64(x.Step.P50), float64(y.Step.P50)),
			)
		}
	}
	return ratios
}

func compareRoles(a, b []RoleMeasure) []Ratio {
	var ratios []Ratio
	for _, x := range a {
		for _, y := range b {
			if x.Role != y.Role {
				continue
			}
			ratios = append(ratios,
				ratio(x.Role+", mean cores", x.MeanCoreShare, y.MeanCoreShare),
				ratio(x.Role+", peak bytes", float64(x.MaxPeakBytes), float64(y.MaxPeakBytes)),
			)
		}
	}
	return ratios
}

// PrintRatios writes ratios as a table.
func PrintRatios(w io.Writer, ratios []Ratio) error {
	t := &strings.Builder{}
	fmt.Fprintln(t, "figure\tA\tB\tB/A")
	for _, r := range ratios {
		told := fmt.Sprintf("%.3f", r.Ratio)
		if r.Ratio == onlyA0 {
			told = "A is 0"
		}
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%s\n", r.Name, r.A, r.B, told)
	}
	return align(w, t.String())
}
