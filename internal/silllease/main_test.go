package silllease

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefaultFlag("rapid.seed", "1")
	setDefaultFlag("rapid.steps", "150")
	setDefaultFlag("rapid.checks", "300")
	os.Exit(m.Run())
}

// setDefaultFlag sets a flag that the command line did not set.
func setDefaultFlag(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		_ = flag.Set(name, value)
	}
}
