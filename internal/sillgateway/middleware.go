package sillgateway

import (
	"context"
	"net/http"
	"strings"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

type contextKey int

const (
	requestIDKey contextKey = iota
	callerKey
)

// withRequestID assigns an id to the request; the response header carries it.
func (g *Gateway) withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := newRequestID()
		w.Header().Set(requestIDHeader, string(id))
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey, id)))
	})
}

func requestID(r *http.Request) sillid.RequestID {
	id, _ := r.Context().Value(requestIDKey).(sillid.RequestID)
	return id
}

// RequestIDOf returns the id of a request that the gateway's handler passed on.
func RequestIDOf(r *http.Request) string {
	return string(requestID(r))
}

// caller is who sent a request.
type caller struct {
	// organisation is nil on open routes without a key.
	organisation *sillbundle.Organisation
	hash         sillbundle.KeyHash
	// key is the presented key. It is not passed on to other packages.
	key string
}

// bearerKey returns the key of a request; empty if there is none.
func bearerKey(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// authenticate finds the organisation of the request's key.
func (a *Access) authenticate(r *http.Request) (caller, *sillproblem.Problem) {
	key := bearerKey(r)
	if key == "" {
		return caller{}, sillproblem.New(sillproblem.KeyMissing, "the Authorization header holds no bearer key")
	}
	hash := sillbundle.HashKey(key)
	if a.Withdrawn != nil && a.Withdrawn(hash) {
		return caller{}, sillproblem.New(sillproblem.KeyWithdrawn, "the key is in force no more")
	}
	o := a.organisation(hash)
	if o == nil {
		return caller{}, sillproblem.New(sillproblem.KeyUnknown, "no organisation has this key")
	}
	return caller{organisation: o, hash: hash, key: key}, nil
}

// Authenticated passes on requests with a valid key and refuses all others. The
// request's context ends if the key is withdrawn.
func (g *Gateway) Authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		access := g.cfg.Access()
		if p := access.usable(); p != nil {
			g.refuse(w, r, p)
			return
		}
		who, p := access.authenticate(r)
		if p != nil {
			g.refuse(w, r, p)
			return
		}
		ctx, leave := g.active.enter(r.Context(), who.hash)
		defer leave()
		// A withdrawal between the look-up and enter would be missed otherwise.
		now := g.cfg.Access()
		if now.organisation(who.hash) == nil {
			g.refuse(w, r, sillproblem.New(sillproblem.KeyWithdrawn, "the key is in force no more"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(ctx, callerKey, who)))
	})
}

// OrganisationOf returns the organisation of a request that Authenticated passed on.
func OrganisationOf(r *http.Request) sillid.OrganisationID {
	who, ok := r.Context().Value(callerKey).(caller)
	if !ok || who.organisation == nil {
		return ""
	}
	return who.organisation.ID
}

// usable refuses keys while the configuration is unknown or unconfirmed.
func (a *Access) usable() *sillproblem.Problem {
	if a.Index == nil {
		return sillproblem.New(sillproblem.NotReady, "the gateway has no bundle yet").WithRetryAfter(notReadyRetry)
	}
	if a.Unconfirmed {
		return sillproblem.New(sillproblem.BundleUnconfirmed, "the bundle could not be confirmed for too long").WithRetryAfter(notReadyRetry)
	}
	return nil
}

// refuse answers with a problem and counts it.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, p *sillproblem.Problem) {
	g.cfg.Metrics.refused(p)
	p.Write(w, string(requestID(r)))
}
