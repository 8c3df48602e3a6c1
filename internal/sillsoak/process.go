package sillsoak

import (
	"fmt"
	"os"
	"sync/atomic"
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

// addresses counts the addresses that processes of this test got.
var addresses atomic.Uint32

// NewIP returns a loopback address that no other process of a soak uses.
func NewIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%250, 1+addresses.Add(1)%250)
}
