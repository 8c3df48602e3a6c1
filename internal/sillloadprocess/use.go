package sillloadprocess

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Use is what a process used since its start.
type Use struct {
	// Name is the name of the process.
	Name string
	// CPU is the processor time.
	CPU time.Duration
	// PeakBytes is the largest resident size.
	PeakBytes int64
}

// Uses returns what each running process used. Processes that ended are left out.
func (s *Set) Uses() []Use {
	var all []Use
	for _, p := range s.all() {
		u, err := readUse(p.cmd.Process.Pid)
		if err != nil {
			continue
		}
		u.Name = p.command.Name
		all = append(all, u)
	}
	return all
}

// tick is the unit of processor time in /proc, which is fixed on Linux.
const tick = 10 * time.Millisecond

// Fields of /proc/PID/stat behind the name, from 0.
const (
	userField   = 11
	systemField = 12
)

func readUse(pid int) (Use, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Use{}, eris.Wrap(err, "sillloadprocess.readUse")
	}
	// The name stands in parentheses and may hold blanks.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return Use{}, eris.New("sillloadprocess.readUse: short line in /proc")
	}
	user, errUser := strconv.ParseInt(fields[userField], 10, 64)
	system, errSystem := strconv.ParseInt(fields[systemField], 10, 64)
	if errUser != nil || errSystem != nil {
		return Use{}, eris.New("sillloadprocess.readUse: no number in /proc")
	}
	peak, err := readPeak(pid)
	return Use{CPU: time.Duration(user+system) * tick, PeakBytes: peak}, err
}

const kibibyte = 1024

func readPeak(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, eris.Wrap(err, "sillloadprocess.readPeak")
	}
	for line := range strings.Lines(string(status)) {
		value, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		return n * kibibyte, eris.Wrap(err, "sillloadprocess.readPeak")
	}
	return 0, eris.New("sillloadprocess.readPeak: no peak in /proc")
}
