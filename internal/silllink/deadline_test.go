package silllink

import (
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillwire"
)

func TestAnswerDeadline(t *testing.T) {
	lastPongAt := time.Unix(1000, 0)
	for _, tc := range []struct {
		name string
		// sent and want count from the last response.
		sent, want time.Duration
	}{
		{"silence counts from the last answer", sillwire.HeartbeatInterval, sillwire.SilenceLimit},
		{"a gateway held up gives one interval", time.Minute, time.Minute + sillwire.HeartbeatInterval},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := answerDeadline(lastPongAt, lastPongAt.Add(tc.sent))
			if got != lastPongAt.Add(tc.want) {
				t.Errorf("deadline %s after the last response, want %s", got.Sub(lastPongAt), tc.want)
			}
		})
	}
}
