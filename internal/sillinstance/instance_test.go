package sillinstance

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcall"
)

func TestList(t *testing.T) {
	const body = `{"as-of":60000,"instances":[{"instance-id":"i","target-id":"t","pool":"p",
		"availability-zone":"z","agent-address":"127.0.0.1:1","state":"leaving"}]}`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(body))
	}))
	defer s.Close()
	list, err := Dial(Config{Call: sillcall.Config{BaseURL: s.URL, Timeout: 5 * time.Second}}).List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	want := Instance{ID: "i", Target: "t", Pool: "p", Zone: "z", AgentAddress: "127.0.0.1:1", State: Leaving}
	if len(list.Instances) != 1 || list.Instances[0] != want || !list.AsOf.Equal(time.UnixMilli(60000)) {
		t.Errorf("list %+v", list)
	}
}
