package main

import (
	"bytes"
	"context"
	"fmt"
	"time"
)

// manyFields submits one batch job of legal size whose items have very many short headers.
func manyFields(ctx context.Context, c *trial) (broken bool, err error) {
	c.rec.quiet = "fields."
	w, err := newWorld(ctx, c.rec, c.dir, smallMachine, 3, append(engines(1, 23, 150*time.Millisecond), desk()))
	defer w.close()
	if err != nil {
		return false, err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	t := w.watch(watching)
	headers := itemHeaders
	if !c.trouble {
		headers = 1
	}
	accepted := w.submit(ctx, "tenant-b", "fields", jobOfFields("fields", fieldItems, headers), 0, 2)
	c.rec.printf("judge: the batch job was accepted: %v", accepted)
	sleep(ctx, 15*time.Second)
	served := w.ordinary(ctx, "ordinary")
	kills := t.report()
	c.rec.printf("judge: an ordinary request is served: %v", served)
	return kills > 0 || !served, nil
}

// Figures of the batch job: items, each with a number of headers.
const (
	fieldItems  = 5000
	itemHeaders = 400
)

func jobOfFields(job string, items, headers int) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, `{"step":0,"model":%q,"min_version":1,"target_count":1,"requests":[`, modelNames[0])
	for i := range items {
		if i > 0 {
			b.WriteByte(',')
		}
		_, _ = fmt.Fprintf(&b, `{"id":%q,"path":"/jobs/a","headers":{"X-Model":%q`, itemID(job, i), modelNames[0])
		for n := range headers {
			_, _ = fmt.Fprintf(&b, `,"X%x":"1"`, n)
		}
		_, _ = fmt.Fprintf(&b, `},"body":"eA==","tokens":39,"group":"g%d"}`, i/4)
	}
	b.WriteString("]}")
	return b.Bytes()
}
