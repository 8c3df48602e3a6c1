package sillrate

import "testing"

// TestParse checks that only decimal numbers are limits, and that none of them stops or
// floods a target for good.
func TestParse(t *testing.T) {
	named := func(limit PerSecond) Notice { return Notice{Kind: Named, Limit: limit} }
	invalid := Notice{Kind: Invalid}
	for name, tc := range map[string]struct {
		values []string
		want   Notice
	}{
		"missing":              {nil, Notice{}},
		"whole":                {[]string{"12"}, named(12)},
		"fraction":             {[]string{" 9.75 "}, named(9.75)},
		"zero":                 {[]string{"0"}, named(minRate)},
		"below the lowest":     {[]string{"0.001"}, named(minRate)},
		"twice the same":       {[]string{"5", "5"}, named(5)},
		"twice":                {[]string{"5", "2.5"}, named(2.5)},
		"list":                 {[]string{"2.5, 5"}, named(2.5)},
		"huge":                 {[]string{"10000000000000000000"}, Notice{}},
		"twice, one huge":      {[]string{"10000000", "3"}, named(3)},
		"too long":             {[]string{"1000000000000000000000000000000000000000"}, invalid},
		"empty":                {[]string{""}, invalid},
		"negative":             {[]string{"-1"}, invalid},
		"exponent":             {[]string{"1e9"}, invalid},
		"hexadecimal":          {[]string{"0x10"}, invalid},
		"infinite":             {[]string{"Inf"}, invalid},
		"no number":            {[]string{"NaN"}, invalid},
		"with a unit":          {[]string{"5/s"}, invalid},
		"valid beside invalid": {[]string{"5", "many"}, invalid},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Parse(tc.values); got != tc.want {
				t.Errorf("Parse(%q) = %+v, want %+v", tc.values, got, tc.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("1.5", "x")
	f.Fuzz(func(t *testing.T, a, b string) {
		n := Parse([]string{a, b})
		if n.Kind == Named && (n.Limit < minRate || n.Limit >= maxRate) {
			t.Errorf("Parse(%q, %q) = %+v", a, b, n)
		}
	})
}
