package sillrelay

import (
	"cmp"
	"time"
)

const (
	// minTransferRate is the least rate in bytes a second at which a call is expected to
	// pass its bytes: an eighth of a link of 60 Mbit/s, the rest of which other calls take.
	minTransferRate = 940_000
	// freeTransferBytes is the size up to which a call gets no time for its bytes.
	freeTransferBytes = 64 << 10
	// largePageBytes is the size of a page of large rows, as it is encoded.
	largePageBytes = 1 << 20
)

// timeLimit returns the time limit of a call.
func (r *Relay) timeLimit(c *wireCall) time.Duration {
	return time.Duration(c.WaitMS)*time.Millisecond + cmp.Or(r.cfg.CallTimeout, defaultCallTimeout) + c.transferTime()
}

// transferTime returns the time for which the bytes of a call may be under way; 0 for calls
// with few bytes.
func (c *wireCall) transferTime() time.Duration {
	size := 0
	for _, w := range c.Txn.Writes {
		size += len(w.Value)
	}
	if c.Large {
		size += largePageBytes
	}
	if size <= freeTransferBytes {
		return 0
	}
	return time.Duration(size) * time.Second / minTransferRate
}
