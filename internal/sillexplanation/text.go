package sillexplanation

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// Write writes an answer as text.
func Write(w io.Writer, a *Answer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "gateway %s in zone %s, configuration %d\n", a.Gateway, a.Zone, a.ConfigVersion)
	fmt.Fprintf(&b, "route %s (%s), organisation %s\n", a.Route, a.Kind, cmp.Or(string(a.Organisation), "none needed"))
	fmt.Fprintf(&b, "age of what it knows: configuration %s, targets %s, gateways %s, jobs %s\n",
		age(a.Ages.ConfigMS), age(a.Ages.TargetsMS), age(a.Ages.GatewaysMS), age(a.Ages.JobsMS))
	if a.Stopping {
		fmt.Fprintln(&b, "the gateway is stopping and refuses what it could not answer before its end")
	}
	if a.Owner != "" && !a.OwnedHere {
		fmt.Fprintf(&b, "items are sent by the gateway run %s; ask that one\n", a.Owner)
	}
	if a.CrashEvidence != nil {
		fmt.Fprintln(&b, a.CrashEvidence.describe())
	}
	for i := range a.Pools {
		a.Pools[i].write(&b)
	}
	_, err := w.Write(b.Bytes())
	return err
}

func age(ms *int64) string {
	if ms == nil {
		return "never read"
	}
	return fmt.Sprintf("%d ms", *ms)
}

func (p *Pool) write(b *bytes.Buffer) {
	fmt.Fprintf(b, "\npool %s, %.4g of the requests: %s\n", p.Pool, p.Share, p.decision())
	if p.Behaviours != nil {
		fmt.Fprintf(b, "switched on: %s\n", describeBehaviours(p.Behaviours))
	}
	if len(p.Candidates) == 0 {
		fmt.Fprintln(b, "no targets are known")
		return
	}
	// Writes to a buffer never fail.
	table := tabwriter.NewWriter(b, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(table, "target\tzone\tcost\tload\tload age\texpected\tversion\tlimit\tleft out")
	for i := range p.Candidates {
		_, _ = fmt.Fprintln(table, p.Candidates[i].row())
	}
	_ = table.Flush()
	for i := range p.Candidates {
		if permits := p.Candidates[i].Permits; permits != nil {
			fmt.Fprintf(b, "permits for %s: %s\n", p.Candidates[i].Target, permits.describe())
		}
	}
}

// describe tells the rates, who grants the permits and when the next one is expected.
func (p *Permits) describe() string {
	var parts []string
	for _, r := range p.Rates {
		parts = append(parts, fmt.Sprintf("%s %.4g/s with a burst of %.4g", r.Reason, r.PerSecond, r.Burst))
	}
	by := p.GrantedBy
	if p.Granter != "" {
		by += " " + string(p.Granter)
	}
	next := "next one known only there"
	if p.NextMS != nil {
		next = fmt.Sprintf("next one in %d ms", *p.NextMS)
	}
	return strings.Join(append(parts, "granted by "+by, next), "; ")
}

// describe tells what becomes of requests with the content.
func (c *CrashEvidence) describe() string {
	if c.Crashes == 0 {
		return fmt.Sprintf("content %s: no target is known to have crashed under it", c.Content)
	}
	names := make([]string, 0, len(c.Targets))
	for _, target := range c.Targets {
		names = append(names, string(target))
	}
	verdict := "not refused"
	if c.Refused {
		verdict = fmt.Sprintf("refused for %d ms", c.RetryAfterMS)
	}
	return fmt.Sprintf("content %s: %s; %d crashes with a score of %.4g, the last %s ago, at %s",
		c.Content, verdict, c.Crashes, c.Score, age(c.LastCrashAgeMS), strings.Join(names, ", "))
}

// describeBehaviours lists behaviours with their signals.
func describeBehaviours(list []Behaviour) string {
	described := make([]string, 0, len(list))
	for _, d := range list {
		described = append(described, fmt.Sprintf("%s (%s)", d.Behaviour, d.Signal))
	}
	return cmp.Or(strings.Join(described, ", "), "nothing")
}

// decision tells what would become of the request.
func (p *Pool) decision() string {
	switch p.Action {
	case Send:
		return "sent to " + string(p.Target)
	case Refuse:
		return fmt.Sprintf("refused at once (%s), retry after %d ms", p.Reason, p.RetryAfterMS)
	case Wait:
		if p.MaxWaitMS > 0 {
			return fmt.Sprintf("waits for a target, for %d ms at most", p.MaxWaitMS)
		}
	}
	return "waits for a target"
}

func (c *Candidate) row() string {
	limit, excluded := "-", cmp.Or(c.Excluded, "-")
	if c.PerSecond > 0 {
		limit = fmt.Sprintf("%.4g/s", c.PerSecond)
	}
	if c.WaitMS > 0 {
		excluded += fmt.Sprintf(", for %d ms", c.WaitMS)
	}
	expected, version, loadAge := "-", "-", "-"
	if c.LoadAgeMS != nil {
		loadAge = age(c.LoadAgeMS)
	}
	if c.ExpectedMS > 0 {
		expected = fmt.Sprintf("%d ms", c.ExpectedMS)
	}
	if c.Version > 0 {
		version = fmt.Sprint(c.Version)
	}
	return strings.Join([]string{
		string(c.Target), string(c.Zone), fmt.Sprintf("%.4g", c.Cost), fmt.Sprintf("%d of %d", c.Load, c.Slots),
		loadAge, expected, version, limit, excluded,
	}, "\t")
}
