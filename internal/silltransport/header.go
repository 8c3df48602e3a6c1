package silltransport

import (
	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillheader"
)

// check returns an error for a request whose head would not be read as it is meant: something
// in it ends a line, or frames the message.
func (r *Request) check() error {
	if !sillheader.IsToken(r.Method) {
		return eris.Errorf("silltransport.check: method %.20q is not a token", r.Method)
	}
	if err := sillheader.CheckPath(r.RequestURI); err != nil {
		return eris.Wrap(err, "silltransport.check")
	}
	if err := sillheader.CheckHost(r.Host); err != nil {
		return eris.Wrap(err, "silltransport.check")
	}
	return eris.Wrap(sillheader.Check(r.Header), "silltransport.check")
}
