package sillrollout

// floorDivisor divides a batch's share of the slots by weight to give its slot floor.
const floorDivisor = 4

// SlotFloor returns the number of slots that a batch may use regardless of older
// batches: a fraction of its trainer's share of the capacity by weight, at least 1.
func SlotFloor(capacity, weight, totalWeight int) int {
	share := capacity * max(weight, 1) / max(totalWeight, weight, 1)
	return max(1, share/floorDivisor)
}

// AttemptLimit returns how many attempts a batch may run: its slot floor, or more if
// there are free slots. The oldest batch has rank 0 and may take every free slot;
// each younger batch may take half as many as the one before it.
func AttemptLimit(floor, running, free, rank int) int {
	return max(floor, running+max(free, 0)>>min(rank, 30))
}

// Running returns the number of running attempts.
func (b *Batch) Running() int { return b.running }
