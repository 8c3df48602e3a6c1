package sillpermit

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillbody"
	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/sillserver"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/silltransport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Path is the HTTP path on which a gateway grants permits to others.
const Path = "/permits"

// maxMessageBytes bounds a call and its answer.
const maxMessageBytes = 4 << 10

// wireAsk is the body of a call for a permit.
type wireAsk struct {
	Run          silltarget.Run        `cbor:"run"`
	Class        sillrate.Class        `cbor:"class"`
	Organisation sillid.OrganisationID `cbor:"organisation,omitempty"`
	Forced       bool                  `cbor:"forced,omitempty"`
	// Limits is what the caller knows of the run's limit.
	Limits []silltarget.RunLimit `cbor:"limits,omitempty"`
	// Cold is set if the target may be cold, as far as the caller knows.
	Cold *silltarget.ColdGrant `cbor:"cold,omitempty"`
}

// wireVerdict is the body of the answer.
type wireVerdict struct {
	Granted      bool  `cbor:"granted"`
	OverShare    bool  `cbor:"over-share,omitempty"`
	RetryAfterMS int64 `cbor:"retry-after-ms,omitempty"`
	// DecidedCold is whether the answering gateway takes itself for the granter and counted
	// the permit as one for a target that may be cold, if it is.
	DecidedCold bool `cbor:"decided-cold,omitempty"`
	// Limits is what the answering gateway knows of the run's limit.
	Limits []silltarget.RunLimit `cbor:"limits,omitempty"`
}

// limits returns what this process knows of the limit of a run.
func (b *Broker) limits(run silltarget.Run) []silltarget.RunLimit {
	if l, ok := b.cfg.Directory.Limit(b.cfg.Now(), run); ok {
		return []silltarget.RunLimit{l}
	}
	return nil
}

// callPlace asks another gateway for a permit.
func (b *Broker) callPlace(ctx context.Context, address string, a Ask) (v Verdict, decidedCold bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	body, err := cbor.Marshal(wireAsk{Run: a.Run, Class: a.Class, Organisation: a.Organisation, Forced: a.Forced, Limits: b.limits(a.Run), Cold: a.Cold})
	if err != nil {
		return Verdict{}, false, eris.Wrap(err, "sillpermit.callPlace")
	}
	resp, err := b.cfg.Pool.Send(ctx, address, &silltransport.Request{Method: http.MethodPost, RequestURI: Path, Host: address, Body: body})
	if err != nil {
		b.cfg.Pool.CloseIdle(address)
		return Verdict{}, false, eris.Wrap(err, "sillpermit.callPlace")
	}
	defer resp.Body.Close()
	answer, err := sillbody.ReadAll(resp.Body, maxMessageBytes)
	if err != nil {
		return Verdict{}, false, eris.Wrap(err, "sillpermit.callPlace")
	}
	if resp.StatusCode != http.StatusOK {
		return Verdict{}, false, eris.Errorf("sillpermit.callPlace: status %d", resp.StatusCode)
	}
	var w wireVerdict
	if err := cbor.Unmarshal(answer, &w); err != nil {
		return Verdict{}, false, eris.Wrap(err, "sillpermit.callPlace")
	}
	b.cfg.Directory.MergeLimits(b.cfg.Now(), w.Limits)
	return Verdict{Granted: w.Granted, OverShare: w.OverShare, RetryAfter: time.Duration(w.RetryAfterMS) * time.Millisecond}, w.DecidedCold, nil
}

// ServeHTTP grants permits to other gateways.
func (b *Broker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := sillserver.ReadBody(rw, r, maxMessageBytes)
	var w wireAsk
	if err == nil {
		err = cbor.Unmarshal(body, &w)
	}
	if err != nil || w.Class < 0 || w.Class >= sillrate.Classes {
		http.Error(rw, "ask for a permit can't be read", http.StatusBadRequest)
		return
	}
	b.cfg.Directory.MergeLimits(b.cfg.Now(), w.Limits)
	place := b.cfg.Place(w.Run)
	v, decidesCold := Verdict{Granted: true}, w.Cold != nil && place.Self
	if w.Cold == nil || decidesCold {
		v = b.decide(Ask{Run: w.Run, Class: w.Class, Organisation: w.Organisation, Forced: w.Forced, Cold: w.Cold}, place.Settled)
	}
	answer, err := cbor.Marshal(wireVerdict{
		Granted: v.Granted, OverShare: v.OverShare, RetryAfterMS: ceilMS(v.RetryAfter), DecidedCold: decidesCold, Limits: b.limits(w.Run),
	})
	if err != nil {
		http.Error(rw, "verdict can't be encoded", http.StatusInternalServerError)
		return
	}
	// A write error means that the asking gateway has gone.
	_, _ = rw.Write(answer)
}

// ceilMS returns a duration in milliseconds, rounded up.
func ceilMS(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }
