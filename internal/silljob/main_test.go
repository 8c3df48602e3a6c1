package silljob

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefaultFlag("rapid.seed", "1")
	setDefaultFlag("rapid.steps", "60")
	setDefaultFlag("rapid.checks", "50")
	os.Exit(m.Run())
}

// setDefaultFlag sets a flag unless the command line set it.
func setDefaultFlag(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		_ = flag.Set(name, value)
	}
}
