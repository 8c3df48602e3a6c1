package silldirectgateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/silltransport"
)

const (
	// leavingPath is the HTTP path on which gateways accept the leaving targets that a
	// peer knows.
	leavingPath = "/leaving-targets"
	// maxSharedLeaving bounds the leaving targets that a gateway shares at a time. One
	// takes up to 100 bytes of the gateway's row.
	maxSharedLeaving = 64
)

// newDirectory returns the directory of targets.
func newDirectory(adapter *Adapter, r *prometheus.Registry, log *zap.Logger) *silltarget.Directory {
	return silltarget.NewDirectoryWith(silltarget.Config{
		Notices: newNoticeHooks(r, log), Limits: newLimitHooks(r, log), Seed: rand.Uint64(), Connected: adapter.TargetPool.HasIdle,
	})
}

// newNoticeHooks returns hooks that log and count the notices of targets.
func newNoticeHooks(r *prometheus.Registry, log *zap.Logger) silltarget.NoticeHooks {
	log = log.Named("targets")
	leaving := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wasabisill_targets_leaving_total",
		Help: "Runs of targets learned to leave, by source (response, peer).",
	}, []string{"source"})
	invalid := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "wasabisill_invalid_leaving_notices_total",
		Help: "Responses of targets with a notice of leaving in a form that is not defined.",
	})
	r.MustRegister(leaving, invalid)
	return silltarget.NoticeHooks{
		OnLeaving: func(run silltarget.Run, from silltarget.NoticeSource) {
			leaving.WithLabelValues(string(from)).Inc()
			log.Info("Target leaves; sending it no new requests.", zap.String("target", string(run.Target)),
				zap.Int64("started-at-ms", run.StartedAtMS), zap.String("source", string(from)))
		},
		OnInvalid: func(run silltarget.Run) {
			invalid.Inc()
			log.Warn("Notice of leaving is invalid; ignoring it.", zap.String("target", string(run.Target)))
		},
	}
}

// leavingTargets shares the targets that leave with the other gateways: through the rows
// of the gateways, and directly while those can't be written.
type leavingTargets struct {
	directory *silltarget.Directory
	pool      *silltransport.Pool
	log       *zap.Logger
}

func newLeavingTargets(d *silltarget.Directory, adapter *Adapter, log *zap.Logger) *leavingTargets {
	return &leavingTargets{directory: d, pool: adapter.PeerPool, log: log.Named("targets")}
}

// runs returns the leaving targets to share.
func (l *leavingTargets) runs() []silltarget.Run { return l.directory.LeavingRuns(maxSharedLeaving) }

// merge adds leaving targets that a peer shared.
func (l *leavingTargets) merge(runs []silltarget.Run) { l.directory.MergeLeaving(time.Now(), runs) }

// send sends the leaving targets to some of the peers directly.
func (l *leavingTargets) send(ctx context.Context, peers []string) {
	runs := l.runs()
	if len(runs) == 0 {
		return
	}
	body, err := cbor.Marshal(runs)
	if err != nil {
		l.log.Error("Leaving targets can't be encoded.", silllog.Err(err))
		return
	}
	sendToPeers(ctx, l.pool, peers, leavingPath, body, func(bool) {})
}

// serve accepts the leaving targets of a peer.
func (l *leavingTargets) serve(w http.ResponseWriter, r *http.Request) {
	err := servePeerMessage(w, r, func(body []byte) error {
		var runs []silltarget.Run
		if err := cbor.Unmarshal(body, &runs); err != nil {
			return eris.Wrap(err, "silldirectgateway.leavingTargets.serve")
		}
		l.merge(runs[:min(len(runs), maxSharedLeaving)])
		return nil
	})
	if err != nil {
		l.log.Warn("Leaving targets of a peer can't be read.", zap.String("peer", r.RemoteAddr), silllog.Err(err))
	}
}
