package silljob

import (
	"context"
	"time"
)

// A process holds the items of its jobs that run or wait, as far as its memory allows, and reads
// the others from the store as those are finished. Small jobs are read as a whole, so that their
// groups can be compared. Of larger ones, the finished items are removed.

const (
	// maxHeldItems bounds the unfinished items of a job that are read: the dispatcher sorts them
	// all whenever a slot is free.
	maxHeldItems = 4096
	// itemOverheadBytes is what an item takes beside its body and that of its score request.
	itemOverheadBytes = 1 << 10
	// roomCheckInterval is the time between two checks for room that other jobs have left.
	roomCheckInterval = 50 * time.Millisecond
)

// heldBytes returns what an item takes while it is not finished.
func (i *Item) heldBytes() int64 {
	n := itemOverheadBytes + len(i.Body)
	for name, values := range i.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	if i.ScoreRequest != nil {
		n += len(i.ScoreRequest.Body)
	}
	return int64(n)
}

// hold counts an item that is added to a job. The caller holds r.mu.
func (r *Runner) hold(it *itemRun) {
	if it.phase == finished {
		it.item.dropContent()
	}
	n := it.item.heldBytes()
	it.job.heldBytes += n
	r.heldBytes += n
}

// dropContent drops what an item needs only until it is finished. The caller holds r.mu.
func (r *Runner) dropContent(it *itemRun) {
	before := it.item.heldBytes()
	it.item.dropContent()
	if r.jobs[it.job.sub.Job] == it.job {
		r.releaseBytes(it.job, before-it.item.heldBytes())
	}
}

// releaseBytes counts bytes of a job that are no longer held. The caller holds r.mu.
func (r *Runner) releaseBytes(j *ownedJob, n int64) {
	j.heldBytes -= n
	r.heldBytes -= n
}

// fits returns whether all items of a new job may be held beside those of the others.
func (r *Runner) fits(p *PackedItems) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.Len() <= maxHeldItems && (r.cfg.MaxHeldBytes <= 0 || r.heldBytes+int64(p.heldBytes()) <= r.cfg.MaxHeldBytes)
}

// hasRoom returns whether the next list of a job may be read. The caller holds r.mu.
func (r *Runner) hasRoom(j *ownedJob) bool {
	unfinished := len(j.pending)
	for _, it := range j.items {
		if it.phase != finished && !it.unusable {
			unfinished++
		}
	}
	if unfinished == 0 {
		return true
	}
	return unfinished < maxHeldItems && (r.cfg.MaxHeldBytes <= 0 || r.heldBytes < r.cfg.MaxHeldBytes)
}

// awaitRoom waits until the next list of a job may be read, or ctx ends.
func (r *Runner) awaitRoom(ctx context.Context, j *ownedJob) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		r.mu.Lock()
		ok := r.hasRoom(j)
		r.mu.Unlock()
		if ok {
			return
		}
		timer.Reset(roomCheckInterval)
		select {
		case <-ctx.Done():
		case <-j.roomSignal:
		case <-timer.C:
		}
	}
}

// notifyLoader signals the loader of the job without blocking.
func (j *ownedJob) notifyLoader() {
	select {
	case j.roomSignal <- struct{}{}:
	default:
	}
}

// removeFinished removes the finished items of a job that has more items than may be held. The
// caller holds r.mu.
func (r *Runner) removeFinished(j *ownedJob) {
	if j.held.Total <= maxHeldItems && (r.cfg.MaxHeldBytes <= 0 || r.heldBytes < r.cfg.MaxHeldBytes) {
		return
	}
	kept := make([]*itemRun, 0, len(j.items))
	groups := make(map[string]bool)
	for _, it := range j.items {
		if it.phase == finished {
			r.releaseBytes(j, it.item.heldBytes())
			continue
		}
		kept = append(kept, it)
		groups[it.item.Group] = true
	}
	j.removed += len(j.items) - len(kept)
	j.items = kept
	for group := range j.groupTarget {
		if !groups[group] {
			delete(j.groupTarget, group)
		}
	}
}

// publishedItems are the items of a job with published results, of which those that were read
// are taken out.
type publishedItems struct {
	// table finds the positions of the ids of the results; nil in jobs of earlier builds, whose
	// index has no ids.
	table               *idTable
	finished, completed positionSet
	// byID are those without a position; the value is whether the item was completed.
	byID map[ItemID]bool
	left int
}

// newPublishedItems returns no items of a job with the given ids, which are nil if they are not
// known.
func newPublishedItems(ids *itemIDs) *publishedItems {
	p := &publishedItems{byID: make(map[ItemID]bool)}
	if ids != nil {
		p.table = newIDTable(ids)
		p.finished, p.completed = newPositionSet(ids.len()), newPositionSet(ids.len())
	}
	return p
}

// add adds an item with a result.
func (p *publishedItems) add(item ItemID, completed bool) {
	if p.table == nil {
		p.byID[item] = completed
		return
	}
	position, ok := p.table.position(item)
	if !ok || p.finished.has(position) {
		return
	}
	p.finished.add(position)
	if completed {
		p.completed.add(position)
	}
	p.left++
}

// take returns whether an item has a result, and whether it was completed, and takes it out.
func (p *publishedItems) take(item ItemID, position int) (ok, completed bool) {
	if p == nil {
		return false, false
	}
	if completed, ok = p.byID[item]; ok {
		delete(p.byID, item)
		return true, completed
	}
	if !p.finished.has(position) {
		return false, false
	}
	p.left--
	return true, p.completed.has(position)
}

// unread returns the number of items that were not taken out.
func (p *publishedItems) unread() int {
	if p == nil {
		return 0
	}
	return p.left + len(p.byID)
}
