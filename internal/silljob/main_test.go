package silljob

import (
	"os"
	"testing"

	"github.com/wasabisill/wasabisill/internal/sillproperty"
)

func TestMain(m *testing.M) {
	os.Exit(sillproperty.Run(m, sillproperty.Config{Checks: 50, Steps: 60}))
}
