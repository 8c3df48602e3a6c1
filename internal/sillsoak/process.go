package sillsoak

import (
	"os"
	"syscall"
	"time"
)

// Process is a started process.
type Process struct {
	PID    int
	Signal func(s syscall.Signal)
	// Done is closed when the process has ended; State returns how.
	Done  <-chan struct{}
	State func() *os.ProcessState
}

// suspend suspends the process for a while.
func (p *Process) suspend(d time.Duration) {
	p.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.Signal(syscall.SIGCONT)
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Done
}
