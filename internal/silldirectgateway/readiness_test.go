package silldirectgateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// TestRequestsWaitForTheRowsOfGateways guards against requests that exceed the limits of
// targets, since they come before the gateway has read what others tell of limits.
func TestRequestsWaitForTheRowsOfGateways(t *testing.T) {
	s := &Service{members: &membership{read: make(chan struct{})}, view: newView(&Settings{}, &Adapter{}, nil, zap.NewNop())}
	s.view.catalog.UpdateIfNewer(&sillcatalog.Catalog{Version: 1})
	served := false
	handler := s.holdUntilRead(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		served = true
		if !s.members.hasRead() {
			t.Error("a request was served before the rows were read")
		}
	}))
	group := sillgroup.New(context.Background())
	group.Go(func(context.Context) { close(s.members.read) })
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	group.Wait()
	if !served {
		t.Error("the request was not served")
	}
}
