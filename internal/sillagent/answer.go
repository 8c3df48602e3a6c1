package sillagent

import (
	"context"
	"errors"
	"sync"

	"github.com/wasabisill/wasabisill/internal/sillwire"
)

// maxAnswerBytes bounds the frames of an answer, which are all kept until its end.
const maxAnswerBytes = 64 << 20

// errAnswerTooLong is returned for an answer of a target that sends bytes without end.
var errAnswerTooLong = errors.New("the answer is longer than an agent keeps")

// answer is the list of answer frames of a run. One goroutine appends; any
// number of streams read from any position, so that a gateway whose connection
// broke reads on from where it was.
type answer struct {
	mu sync.Mutex
	// frames are encoded; a frame never changes once appended.
	frames [][]byte
	size   int
	ended  bool
	// grown is closed at each append and replaced.
	grown chan struct{}
}

func newAnswer() *answer {
	return &answer{grown: make(chan struct{})}
}

// append adds frames, which readers get together; nothing follows the last one. It
// returns errAnswerTooLong beyond maxAnswerBytes, but for the last one.
func (a *answer) append(last bool, messages ...sillwire.Message) error {
	frames := make([][]byte, len(messages))
	size := 0
	for i, m := range messages {
		frame, err := sillwire.Append(nil, m)
		if err != nil {
			return err
		}
		frames[i] = frame
		size += len(frame)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return nil
	}
	if !last && a.size+size > maxAnswerBytes {
		return errAnswerTooLong
	}
	a.frames = append(a.frames, frames...)
	a.size += size
	a.ended = last
	close(a.grown)
	a.grown = make(chan struct{})
	return nil
}

// after returns the frames from a position on, waiting for at least one. The
// result is empty if the answer has ended before the position.
func (a *answer) after(ctx context.Context, from int) ([][]byte, error) {
	for {
		a.mu.Lock()
		frames, ended, grown := a.frames, a.ended, a.grown
		a.mu.Unlock()
		if from < len(frames) {
			return frames[from:], nil
		}
		if ended {
			return nil, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-grown:
		}
	}
}

// bytes returns the memory that the frames take.
func (a *answer) bytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.size
}
