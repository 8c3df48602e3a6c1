package sillrollout

// floorDivisor sets the floor of a batch: this part of its share by weight.
const floorDivisor = 4

// SlotFloor returns the slots that a batch keeps whatever older batches ask for: a
// part of its trainer's share by weight; at least 1.
func SlotFloor(capacity, weight, totalWeight int) int {
	share := capacity * max(weight, 1) / max(totalWeight, weight, 1)
	return max(1, share/floorDivisor)
}

// AttemptLimit returns how many attempts a batch may run: its floor, and beyond it the
// free slots that older batches leave. The oldest batch has rank 0 and may take
// every free slot, each younger one half as many as the one before it.
func AttemptLimit(floor, running, free, rank int) int {
	return max(floor, running+max(free, 0)>>min(rank, 30))
}

// Running returns the number of running attempts.
func (b *Batch) Running() int { return b.running }
