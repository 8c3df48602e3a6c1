// Package sillrate holds the limits on requests a second that targets name, and the token
// bucket that keeps one.
package sillrate

import (
	"regexp"
	"strconv"
	"strings"
)

// PerSecond is a number of requests a second.
type PerSecond float64

const (
	// minRate is the lowest rate that is kept. At a lower one, a target that no longer
	// limits its requests would not get the request whose answer says so.
	minRate PerSecond = 0.1
	// maxRate is the rate from which a limit has no effect.
	maxRate PerSecond = 1e6
	// maxDigits bounds the length of a value.
	maxDigits = 32
)

// decimal is the form of a limit.
var decimal = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?$`)

// Kind is what a response says of a limit.
type Kind int

const (
	// None is for responses that name no limit: the target has none, or no longer has one.
	None Kind = iota
	// Named is for responses that name a limit.
	Named
	// Invalid is for limits in a form that is not defined. They change nothing.
	Invalid
)

// Notice is what a response says of its target's limit.
type Notice struct {
	Kind Kind
	// Limit is set if Kind is Named; it is minRate at least.
	Limit PerSecond
}

// Parse reads the limits that a response names. Of several, the lowest counts; one that is
// invalid makes the whole invalid.
func Parse(values []string) Notice {
	notice := Notice{}
	for _, line := range values {
		for value := range strings.SplitSeq(line, ",") {
			limit, ok := parseLimit(strings.TrimSpace(value))
			if !ok {
				return Notice{Kind: Invalid}
			}
			if notice.Kind == None || limit < notice.Limit {
				notice = Notice{Kind: Named, Limit: limit}
			}
		}
	}
	if notice.Limit >= maxRate {
		return Notice{}
	}
	return notice
}

func parseLimit(value string) (PerSecond, bool) {
	if len(value) > maxDigits || !decimal.MatchString(value) {
		return 0, false
	}
	f, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, false
	}
	return max(PerSecond(f), minRate), true
}
