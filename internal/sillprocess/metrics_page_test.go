package sillprocess

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

var (
	metricName = regexp.MustCompile(`"((?:wasabisill|sill[a-z]+)_[a-z_]+)"`)
	pageRow    = regexp.MustCompile("(?m)^\\| (`[^|]+`) \\|")
	quoted     = regexp.MustCompile("`([^`]+)`")
)

// sourceMetrics returns the names of the metrics that the code registers.
func sourceMetrics(t *testing.T) []string {
	t.Helper()
	var names []string
	for _, root := range []string{"..", filepath.Join("..", "..", "platform")} {
		check(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, m := range metricName.FindAllSubmatch(text, -1) {
				names = append(names, string(m[1]))
			}
			return err
		}))
	}
	return names
}

// rowNames returns the names in the first column of the tables of a part.
func rowNames(part string) []string {
	var names []string
	for _, row := range pageRow.FindAllStringSubmatch(part, -1) {
		for _, m := range quoted.FindAllStringSubmatch(row[1], -1) {
			names = append(names, m[1])
		}
	}
	return names
}

func checkSame(t *testing.T, got, want []string) {
	t.Helper()
	slices.Sort(got)
	slices.Sort(want)
	want = slices.Compact(want)
	for _, name := range want {
		if !slices.Contains(got, name) {
			t.Errorf("%s is not on the page", name)
		}
	}
	for i, name := range got {
		if !slices.Contains(want, name) {
			t.Errorf("%s is on the page, but there is no such thing", name)
		}
		if i > 0 && got[i-1] == name {
			t.Errorf("%s stands twice", name)
		}
	}
}

// TestMetricsPage holds the operators' page against the code.
func TestMetricsPage(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators", "metrics.md"))
	check(t, err)
	_, page, _ := strings.Cut(string(text), "\n## Gateways\n")
	metrics, kinds, _ := strings.Cut(page, "\n## The label `kind`\n")
	t.Run("metrics", func(t *testing.T) {
		checkSame(t, rowNames(metrics), sourceMetrics(t))
	})
	t.Run("kinds", func(t *testing.T) {
		var want []string
		for k := range sillproblem.Kinds() {
			want = append(want, string(k))
		}
		checkSame(t, rowNames(kinds), want)
	})
	t.Run("links", func(t *testing.T) {
		for _, m := range regexp.MustCompile(`\]\(([a-z-]+\.md)\)`).FindAllSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join("..", "..", "docs", "operators", string(m[1]))); err != nil {
				t.Error(err)
			}
		}
	})
}
