// Package sillproperty runs the tests of packages with property tests, which draw the same
// cases in each run.
package sillproperty

import (
	"flag"
	"strconv"
	"testing"
)

// seed is the seed of property tests.
const seed = 1

// Config sets the extent of property tests. The command line overrides it.
type Config struct {
	// Checks is the number of cases and Steps the mean number of actions of a state
	// machine; 0 stands for the default of package rapid.
	Checks, Steps int
}

// Run runs the tests of a package and returns the exit code.
func Run(m *testing.M, cfg Config) int {
	flag.Parse()
	setDefault("rapid.seed", seed)
	setDefault("rapid.checks", cfg.Checks)
	setDefault("rapid.steps", cfg.Steps)
	return m.Run()
}

// setDefault sets a flag to a value other than 0 unless the command line has set it.
func setDefault(name string, value int) {
	if f := flag.Lookup(name); value != 0 && f.Value.String() == f.DefValue {
		// The flags are numbers.
		_ = flag.Set(name, strconv.Itoa(value))
	}
}
