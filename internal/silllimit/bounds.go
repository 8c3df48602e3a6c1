package silllimit

// Bounds are the settings of a queue that can change while it is in use.
type Bounds struct {
	// MaxConcurrent is the maximum of the adaptive limit; at least 1.
	MaxConcurrent int
	// RolloutFloor has the meaning of Config.RolloutFloor.
	RolloutFloor float64
}

// SetBounds applies new bounds. Entries that already run are not interrupted.
func (q *Queue) SetBounds(b Bounds) {
	q.cfg.MaxConcurrent = b.MaxConcurrent
	q.cfg.RolloutFloor = b.RolloutFloor
	q.limit.setMaximum(float64(b.MaxConcurrent))
}

// setMaximum changes the maximum. A limit at the old maximum moves to the new
// one.
func (l *adaptiveLimit) setMaximum(maximum float64) {
	if l.current >= l.maximum {
		l.current = maximum
	}
	l.maximum = maximum
	l.current = min(l.current, maximum)
}

// SetBounds applies new bounds and starts the waiting entries that they allow.
func (g *Gate) SetBounds(b Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetBounds(b)
	g.startWaiting()
}
