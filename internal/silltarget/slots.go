package silltarget

import "time"

// Slots returns the number of slots, free or in use, at the targets that the query's requests
// may be sent to.
func (d *Directory) Slots(now time.Time, q Query) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	q.FreeOnly = false
	slots := 0
	for _, t := range d.targets {
		if t.isEligible(now, &q, 0) {
			slots += t.usableSlots(now, q.AttemptTime)
		}
	}
	return slots
}
