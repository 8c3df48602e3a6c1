package sillprocess

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/silladmin"
	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// racers is the number of operators who race.
const racers = 10

// racer is an operator who adds an organisation of the operator's own name.
type racer struct {
	name   sillbundle.OperatorName
	public ed25519.PublicKey
	key    ed25519.PrivateKey
	client *silladmin.Client
	won    []sillid.BundleVersion
	lost   []loss
}

// loss is what a loser was told.
type loss struct {
	base, rebase      sillid.BundleVersion
	winner, currentBy string
}

var lossText = regexp.MustCompile(`operator "(.+)" changed version (\d+) first; the current version is (\d+) by "(.+)": rebase on version (\d+) and sign anew`)

// run tries until the operator's change is accepted.
func (r *racer) run(t *testing.T) {
	ctx := context.Background()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		base, b, err := r.client.Bundle(ctx, 0)
		if err != nil {
			continue
		}
		b.Organisations = append(b.Organisations, sillbundle.Organisation{
			ID: sillid.OrganisationID(r.name), Weight: 1, MaxConcurrent: 1, Routes: []sillid.RouteID{"cue"},
		})
		if r.handIn(t, base, sillbundle.Sign(b, base, r.name, r.key)) {
			return
		}
	}
	t.Errorf("operator %s was never accepted", r.name)
}

// handIn hands one sign-off in until its outcome is known.
func (r *racer) handIn(t *testing.T, base sillid.BundleVersion, signed *sillbundle.Signed) bool {
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		accepted, err := r.client.Accept(context.Background(), signed)
		if err == nil {
			r.won = append(r.won, accepted.Version)
			return true
		}
		var refused *silladmin.RefusedError
		if errors.As(err, &refused) && refused.Kind == sillproblem.BundleConflict {
			r.lose(t, base, refused.Detail)
			return false
		}
		// Anything else may be an unknown outcome: the same sign-off goes in again.
	}
	t.Errorf("operator %s: no outcome for base %d", r.name, base)
	return false
}

func (r *racer) lose(t *testing.T, base sillid.BundleVersion, detail string) {
	m := lossText.FindStringSubmatch(detail)
	if m == nil || m[3] != m[5] || m[2] != strconv.FormatUint(uint64(base), 10) {
		t.Errorf("a loser of base %d was told %q", base, detail)
		return
	}
	current, _ := strconv.ParseUint(m[3], 10, 64)
	r.lost = append(r.lost, loss{base: base, rebase: sillid.BundleVersion(current), winner: m[1], currentBy: m[4]})
}

func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	var list []*racer
	var operators []sillsettings.Operator
	for i := range racers {
		r := &racer{name: sillbundle.OperatorName(fmt.Sprintf("racer-%d", i))}
		var err error
		r.public, r.key, err = ed25519.GenerateKey(nil)
		check(t, err)
		list = append(list, r)
		operators = append(operators, sillsettings.Operator{Name: string(r.name), PublicKey: base64.StdEncoding.EncodeToString(r.public)})
	}
	p := &passages{t: t}
	c := newCluster(t, size{
		engines: 1, gateways: 2,
		tune: func(s *sillsettings.Gateway) {
			p.tune(s)
			s.Operators = append(s.Operators, operators...)
		},
		tuneAgent: func(s *sillsettings.Agent) { s.Operators = append(s.Operators, operators...) },
	})
	c.awaitServing()
	for _, one := range p.list {
		one.loseHeads.Store(true)
	}
	var group sync.WaitGroup
	for i, r := range list {
		r.client = c.adminClient(c.gateways[i%2])
		group.Go(func() { r.run(t) })
	}
	done := make(chan struct{})
	sillgroup.New(context.Background()).Go(func(context.Context) {
		group.Wait()
		close(done)
	})
	c.loseAnswersUntil(done)
	if lost := p.list[0].lost.Load() + p.list[1].lost.Load(); lost == 0 {
		t.Error("no answer of an acceptance was lost")
	}
	history, err := c.adminClient(c.gateways[0]).History(context.Background(), 2*racers)
	check(t, err)
	checkHistory(t, history, list)
	_, last, err := c.adminClient(c.gateways[1]).Bundle(context.Background(), 0)
	check(t, err)
	if len(last.Organisations) != 2+racers {
		t.Errorf("the last version has %d organisations, want %d", len(last.Organisations), 2+racers)
	}
}

// loseAnswersUntil makes the table lose answers after their effect, again and again.
func (c *cluster) loseAnswersUntil(done chan struct{}) {
	for {
		c.platformFaults(map[string]any{"table": map[string]any{"answer-lost-next": 3}})
		select {
		case <-done:
			c.platformFaults(nil)
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// checkHistory fails unless every version has the one winner that knows of it
// and every loser was told the truth.
func checkHistory(t *testing.T, history []sillbundlestore.Accepted, list []*racer) {
	t.Helper()
	by := map[sillid.BundleVersion]sillbundle.OperatorName{}
	for i, a := range history {
		if want := sillid.BundleVersion(len(history) - i); a.Version != want {
			t.Errorf("history holds version %d where %d belongs", a.Version, want)
		}
		by[a.Version] = a.By
	}
	if len(history) != 1+racers {
		t.Errorf("%d versions, want %d", len(history), 1+racers)
	}
	losses := 0
	for _, r := range list {
		if len(r.won) != 1 || by[r.won[0]] != r.name {
			t.Errorf("operator %s was told of versions %v", r.name, r.won)
		}
		for _, l := range r.lost {
			losses++
			if string(by[l.base+1]) != l.winner || string(by[l.rebase]) != l.currentBy {
				t.Errorf("a loser of base %d was told of %s and of version %d by %s", l.base, l.winner, l.rebase, l.currentBy)
			}
		}
	}
	t.Logf("%d losses told", losses)
	if losses == 0 {
		t.Error("nobody lost: the operators did not race")
	}
}
