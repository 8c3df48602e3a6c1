package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"time"
)

// finish is the bound finish_s.
const finish = 10 * time.Second

// manyItems submits a batch job of legal size with very many short items, and asks for the body
// of one of them.
func manyItems(ctx context.Context, c *trial) (broken bool, err error) {
	c.rec.quiet = "many."
	w, err := newWorld(ctx, c.rec, c.dir, smallMachine, 3, append(engines(2, 23, 150*time.Millisecond), desk()))
	defer w.close()
	if err != nil {
		return false, err
	}
	items := 140_000
	if !c.trouble {
		items = 120_000
	}
	if !w.submit(ctx, "tenant-a", "many", shortItems("many", items), 0, 5) {
		return false, fmt.Errorf("the batch job is not accepted")
	}
	return c.judgeBody(ctx, w, "many", itemID("many", items-1)), nil
}

// shortBody is the body of each short item.
const shortBody = "x"

// shortItems returns a batch job with many items that have only what they need.
func shortItems(job string, items int) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, `{"step":0,"model":%q,"min_version":1,"target_count":1,"requests":[`, modelNames[0])
	for i := range items {
		if i > 0 {
			b.WriteByte(',')
		}
		_, _ = fmt.Fprintf(&b, `{"id":%q,"path":"/jobs/a","headers":{"X-Model":%q},"body":%q,"tokens":39,"group":"g%d"}`,
			itemID(job, i), modelNames[0], base64.StdEncoding.EncodeToString([]byte(shortBody)), i/4)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// judgeBody applies the rule LOST on the body of an item that isn't listed: it is asked for again
// after each failure, at all gateways, for the bound finish_s and as long again.
func (c *trial) judgeBody(ctx context.Context, w *world, job, item string) bool {
	sleep(ctx, 3*time.Second)
	var r *reply
	tries := 0
	for end := time.Now().Add(2 * finish); time.Now().Before(end); tries++ {
		g := w.gateways[tries%len(w.gateways)]
		r = send(ctx, g, &call{tenant: "tenant-a", method: http.MethodGet, path: "/-/items/" + job + "?id=" + item})
		if r.status == http.StatusOK && string(r.body) == shortBody {
			c.rec.printf("judge: the body of %s is given: %v", item, r)
			return false
		}
		if tries < len(w.gateways) {
			c.rec.printf("client: asks %s for the body of %s: %v", g.name, item, r)
		}
		sleep(ctx, 250*time.Millisecond)
	}
	begun := 0
	for i := range 140_000 {
		if w.rec.of(itemID(job, i)).count > 0 {
			begun++
		}
	}
	c.rec.printf("judge: the body of %s was not given in %d calls at all gateways, the last: %v; servers have begun %d items: LOST broken", item, tries, r, begun)
	return true
}
