package silldirectgateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/silltransport"
)

const (
	// evidencePath is the HTTP path on which gateways accept evidence of peers.
	evidencePath = "/crash-evidence"
	// maxSharedRequests bounds the requests on which a gateway shares its evidence at
	// a time. The evidence on one takes up to 600 bytes of the gateway's row.
	maxSharedRequests = 32
)

// Ways on which evidence comes, for metrics.
const (
	wayRow      = "row"
	wayPeer     = "peer"
	wayRestored = "restored"
)

// crashEvidence shares the evidence on requests that crash targets with the other
// gateways: directly at each change, and through the rows of the gateways, which also those
// read that start later.
type crashEvidence struct {
	suspects *sillcrash.SharedTracker
	pool     *silltransport.Pool
	log      *zap.Logger
	received *prometheus.CounterVec
	sent     *prometheus.CounterVec
	// changed signals that the evidence on a content changed, and urgent that the row must be
	// written at once; each buffers one signal.
	changed, urgent chan struct{}
}

func newCrashEvidence(adapter *Adapter, r *prometheus.Registry, log *zap.Logger) *crashEvidence {
	e := &crashEvidence{
		suspects: sillcrash.NewSharedTracker(time.Now),
		pool:     adapter.PeerPool,
		log:      log.Named("crash-evidence"),
		urgent:   make(chan struct{}, 1),
		changed:  make(chan struct{}, 1),
		received: sillmetric.CounterVec("wasabisill_crash_evidence_received_total",
			"Messages with evidence on requests that crash targets, by way (row, peer, restored).", "way"),
		sent: sillmetric.CounterVec("wasabisill_crash_evidence_sent_total",
			"Evidence sent to peers directly, by outcome (done, failed).", "outcome"),
	}
	known := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "wasabisill_crash_suspects", Help: "Contents of requests with evidence that they crash targets.",
	}, func() float64 { return float64(e.suspects.Counts().Known) })
	refused := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "wasabisill_crash_suspects_refused", Help: "Contents of requests that are refused because they crash targets.",
	}, func() float64 { return float64(e.suspects.Counts().Refused) })
	r.MustRegister(e.received, e.sent, known, refused)
	return e
}

// notify signals that the evidence on a content changed, without blocking. Urgent is whether
// the content is refused from now on, or no more. Answers that clear evidence are passed on as
// fast as crashes, or other gateways would refuse sound contents.
func (e *crashEvidence) notify(urgent bool) {
	signal(e.changed)
	if urgent {
		signal(e.urgent)
	}
}

// signal sends to a channel that buffers one signal, without blocking.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// encode returns the evidence to share; nil if there is none.
func (e *crashEvidence) encode() []byte {
	recent := e.suspects.ExportRecent(maxSharedRequests)
	if len(recent) == 0 {
		return nil
	}
	b, err := sillcrash.Encode(recent)
	if err != nil {
		e.log.Error("Crash evidence can't be encoded.", silllog.Err(err))
		return nil
	}
	return b
}

// merge adds evidence that came on the given way from a gateway, which is an instance or
// an address.
func (e *crashEvidence) merge(b []byte, way, from string) error {
	evidence, err := sillcrash.Decode(b)
	if err != nil || len(evidence) == 0 {
		return err
	}
	e.received.WithLabelValues(way).Inc()
	changes := e.suspects.Merge(evidence)
	sillcrash.LogChanges(e.log, time.Now(), changes, way, from)
	if way == wayPeer && slices.ContainsFunc(changes, sillcrash.Change.LeadsToRefusal) {
		// A gateway sends to some of its peers only.
		signal(e.changed)
	}
	return nil
}

// mergeRow adds the evidence in the row of a gateway.
func (e *crashEvidence) mergeRow(m sillcluster.Member, way string) {
	if err := e.merge(m.CrashEvidence, way, string(m.Instance)); err != nil {
		e.log.Error("Crash evidence can't be decoded; skipping it.", zap.String("instance", string(m.Instance)), silllog.Err(err))
	}
}

// send sends the evidence to some of the peers directly.
func (e *crashEvidence) send(ctx context.Context, peers []string) {
	body := e.encode()
	if body == nil {
		return
	}
	sendToPeers(ctx, e.pool, peers, evidencePath, body, func(ok bool) {
		outcome := "done"
		if !ok {
			outcome = "failed"
		}
		e.sent.WithLabelValues(outcome).Inc()
	})
}

// serve accepts the evidence of a peer.
func (e *crashEvidence) serve(w http.ResponseWriter, r *http.Request) {
	err := servePeerMessage(w, r, func(body []byte) error { return e.merge(body, wayPeer, r.RemoteAddr) })
	if err != nil {
		e.log.Warn("Crash evidence of a peer can't be read.", zap.String("peer", r.RemoteAddr), silllog.Err(err))
	}
}
