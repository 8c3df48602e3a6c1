package main

import (
	"bytes"
	"context"
	"fmt"
	"time"
)

// manyFields submits batch jobs of legal size whose items have very many short headers, one after
// the other, each at one gateway and then at the other one.
func manyFields(ctx context.Context, c *trial) (broken bool, err error) {
	c.rec.quiet = "fields-"
	w, err := newWorld(ctx, c.rec, c.dir, smallMachine, 2, append(engines(1, 23, 150*time.Millisecond), desk()))
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
	for i := range fieldJobs {
		job := fmt.Sprintf("fields-%d", i)
		c.rec.printf("judge: %s was accepted: %v", job, w.submit(ctx, "tenant-b", job, jobOfFields(job, fieldItems, headers), i, 2))
	}
	sleep(ctx, 3*time.Second)
	c.rec.printf("judge: an ordinary request is served: %v", w.ordinary(ctx, "ordinary"))
	return t.broken(), nil
}

// Figures of the batch jobs: items, each with a number of headers.
const (
	fieldJobs   = 7
	fieldItems  = 5000
	itemHeaders = 400
)

// jobOfFields returns a batch job whose items have a number of short headers each.
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
