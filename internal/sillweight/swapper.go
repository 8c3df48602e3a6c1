package sillweight

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// State is a target's progress with the version that it has adopted.
type State string

const (
	// Waiting targets serve an earlier version.
	Waiting State = "waiting"
	// Swapping targets must not serve: their engine has been ordered to load a version.
	Swapping State = "swapping"
	// Done targets serve the version.
	Done State = "done"
	// OutOfService targets do not serve: their load failed for good, or their engine is not known.
	OutOfService State = "out"
	// Ended targets no longer run, as reported by gateways.
	Ended State = "gone"
)

// Status is what a target reports to the members of its group, on each change and
// on request.
type Status struct {
	Target  sillid.TargetID      `cbor:"1,keyasint"`
	Version sillid.WeightVersion `cbor:"2,keyasint"`
	State   State                `cbor:"3,keyasint"`
}

// CommandKind is the kind of a Command.
type CommandKind string

const (
	// FetchStore reads the version from the weight store; its result goes to
	// HandleFetchResult.
	FetchStore CommandKind = "fetch-store"
	// FetchPeer reads the version from another agent, which responds once it has
	// the version itself; the result goes to HandleFetchResult.
	FetchPeer CommandKind = "fetch-peer"
	// Swap takes the target out of service and orders its engine to load the
	// version; the result goes to HandleLoadResult.
	Swap CommandKind = "swap"
	// Serve puts the target back into service.
	Serve CommandKind = "serve"
	// TakeOutOfService keeps the target out of service after its last failed attempt
	// to load.
	TakeOutOfService CommandKind = "take-out"
	// SendStatus sends this target's status to a member of the group.
	SendStatus CommandKind = "tell"
	// RequestStatus asks a member of the group for its status; the response goes to
	// HandleStatus.
	RequestStatus CommandKind = "ask"
)

// Command is one step that a Swapper requests from its caller.
type Command struct {
	Kind    CommandKind
	Version sillid.WeightVersion
	// Peer is set for FetchPeer, SendStatus and RequestStatus.
	Peer sillid.TargetID
	// Status is set for SendStatus.
	Status Status
}

// Config holds the settings of a Swapper.
type Config struct {
	Target sillid.TargetID
	// Retries is the number of times that a failed load is retried.
	Retries int
	// RetryDelay is the time before a failed fetch or load is retried.
	RetryDelay time.Duration
	// StatusPollInterval is the time between two requests for the group's statuses
	// while the target waits; the requests make up for lost statuses.
	StatusPollInterval time.Duration
}

// Swapper decides when one target fetches and loads a version.
//
// A target starts a load only if, by the statuses that its group reported,
//   - every member before it is done with the same version, out of service or ended,
//   - every member after it has ended, or has adopted the version and is not loading, and
//   - at most MaxFailedPerGroup members are out of service.
//
// A reported status holds until the target that received it is done itself or
// adopts a later version, so late, lost and duplicate statuses do no harm, and at
// most one member of a group loads at a time.
type Swapper struct {
	Config
	plan     Plan
	position position
	state    State
	// loadedVersion is the version that the engine serves or served last.
	loadedVersion sillid.WeightVersion
	// fetched reports whether the agent holds the weights of the plan's version.
	fetched  bool
	fetching bool
	// fetchAttempts counts the attempts to fetch the plan's version.
	fetchAttempts int
	nextAttempt   time.Time
	nextPoll      time.Time
	loadFailures  int
	// takenOutOfService is set from the command TakeOutOfService to the next Serve. A
	// target can be in the state OutOfService without it, if it reported that state
	// before its engine was known.
	takenOutOfService bool
	// loadingVersion is the version that the engine is ordered to load, 0 if there is no order.
	loadingVersion sillid.WeightVersion
	statuses       map[sillid.TargetID]Status
	// ended holds the members that gateways reported as ended.
	ended map[sillid.TargetID]bool
}

// NewSwapper returns the Swapper of a target whose engine serves the loaded version.
func NewSwapper(cfg Config, loaded sillid.WeightVersion) *Swapper {
	return &Swapper{
		Config:        cfg,
		state:         Done,
		loadedVersion: loaded,
		statuses:      make(map[sillid.TargetID]Status),
		ended:         make(map[sillid.TargetID]bool),
	}
}

// MarkOutOfService sets the state of a target that already reported OutOfService: its
// group ignores earlier states of the same version from then on. The target then
// loads without waiting for the others.
func (s *Swapper) MarkOutOfService() { s.state = OutOfService }

// Status returns the status to report to the group.
func (s *Swapper) Status() Status {
	return Status{Target: s.Target, Version: s.plan.Version, State: s.state}
}

// Adopt starts the rollout of a plan at this target. A plan that is not newer has no
// effect.
func (s *Swapper) Adopt(now time.Time, plan Plan) []Command {
	if plan.Version <= s.plan.Version {
		return nil
	}
	s.plan = plan
	s.position, _ = plan.position(s.Target)
	s.fetched, s.fetching, s.fetchAttempts = false, false, 0
	s.nextAttempt, s.nextPoll = now, now
	s.loadFailures = 0
	if s.state == Done {
		s.state = Waiting
	}
	if s.loadedVersion >= plan.Version && (s.state == Waiting || s.state == OutOfService) {
		s.state = Done
	}
	return append(s.sendStatus(), s.Tick(now)...)
}

// HandleStatus records a status that a member sent, unrequested or as a response.
func (s *Swapper) HandleStatus(now time.Time, status Status) []Command {
	old, ok := s.statuses[status.Target]
	if ok && (status.Version < old.Version || (status.Version == old.Version && precedes(status.State, old.State))) {
		return nil
	}
	s.statuses[status.Target] = status
	delete(s.ended, status.Target)
	return s.Tick(now)
}

// stateOrder is the order in which a target passes through its states with one version.
var stateOrder = map[State]int{Swapping: 0, Waiting: 1, OutOfService: 2, Done: 3}

// precedes reports whether a member is in state a before state b. Swapping precedes
// Waiting, since a member may adopt a version while it still loads an earlier one;
// its load of the adopted version follows only after this target's.
func precedes(a, b State) bool {
	return stateOrder[a] < stateOrder[b]
}

// HandleMemberEnded records that a gateway reported a member as ended. Gateways repeat
// the report every second, since a late status of the member reverts it.
func (s *Swapper) HandleMemberEnded(now time.Time, target sillid.TargetID) []Command {
	s.ended[target] = true
	return s.Tick(now)
}

// HandleFetchResult records the end of a fetch; a failed one is retried after RetryDelay.
func (s *Swapper) HandleFetchResult(now time.Time, version sillid.WeightVersion, err error) []Command {
	if version != s.plan.Version {
		return nil
	}
	s.fetching = false
	if err != nil {
		s.nextAttempt = now.Add(s.RetryDelay)
		return s.Tick(now)
	}
	s.fetched = true
	return s.Tick(now)
}

// HandleLoadResult records the end of a load. The caller resolves an unknown outcome
// before the call, by the version that the engine reports.
func (s *Swapper) HandleLoadResult(now time.Time, version sillid.WeightVersion, err error) []Command {
	if version != s.loadingVersion {
		return nil
	}
	s.loadingVersion = 0
	if err != nil {
		return s.loadFailed(now)
	}
	s.loadedVersion, s.loadFailures = version, 0
	if s.state == OutOfService && version < s.plan.Version {
		// The group counts the target as out of service with the plan's version, so it
		// loads that version before it serves.
		return s.Tick(now)
	}
	s.state, s.takenOutOfService = Done, false
	if version < s.plan.Version {
		s.state = Waiting
	}
	commands := append([]Command{{Kind: Serve, Version: version}}, s.sendStatus()...)
	return append(commands, s.Tick(now)...)
}

// loadFailed retries the load, or keeps the target out of service until the next
// version.
func (s *Swapper) loadFailed(now time.Time) []Command {
	s.loadFailures++
	s.nextAttempt = now.Add(s.RetryDelay)
	if s.loadFailures <= s.Retries || s.takenOutOfService {
		return s.Tick(now)
	}
	s.state, s.takenOutOfService = OutOfService, true
	return append([]Command{{Kind: TakeOutOfService, Version: s.plan.Version}}, s.sendStatus()...)
}

// Tick returns the commands that are due at now. The agent calls it periodically,
// which drives retries and status requests.
func (s *Swapper) Tick(now time.Time) []Command {
	if s.plan.Version == 0 || s.state == Done || s.loadingVersion != 0 || now.Before(s.nextAttempt) {
		return nil
	}
	if !s.fetched {
		return s.startFetch()
	}
	if s.mayLoad() {
		return s.startLoad()
	}
	return s.pollStatuses(now)
}

// startFetch requests a fetch from the next source: first the parent in the
// distribution tree, then each ancestor, then the weight store, and then from the
// parent again.
func (s *Swapper) startFetch() []Command {
	if s.fetching {
		return nil
	}
	s.fetching = true
	n := s.fetchAttempts % (len(s.position.sources) + 1)
	s.fetchAttempts++
	if n == len(s.position.sources) {
		return []Command{{Kind: FetchStore, Version: s.plan.Version}}
	}
	return []Command{{Kind: FetchPeer, Version: s.plan.Version, Peer: s.position.sources[n]}}
}

// mayLoad applies the rules in the comment on Swapper. A target that is already out of
// service loads as long as it has attempts left.
func (s *Swapper) mayLoad() bool {
	if s.state == OutOfService {
		return s.loadFailures <= s.Retries
	}
	if s.state == Swapping {
		return true
	}
	out := 0
	for _, t := range s.position.before {
		other := s.statuses[t]
		settled := other.State == Done || other.State == OutOfService
		if !s.ended[t] && (other.Version != s.plan.Version || !settled) {
			return false
		}
		out += s.countOut(t)
	}
	for _, t := range s.position.after {
		other := s.statuses[t]
		if !s.ended[t] && (other.Version < s.plan.Version || other.State == Swapping) {
			return false
		}
		out += s.countOut(t)
	}
	return out <= s.plan.MaxFailedPerGroup
}

func (s *Swapper) countOut(t sillid.TargetID) int {
	if s.statuses[t].State == OutOfService && !s.ended[t] {
		return 1
	}
	return 0
}

func (s *Swapper) startLoad() []Command {
	s.loadingVersion = s.plan.Version
	if s.state == Waiting {
		s.state = Swapping
	}
	return append(s.sendStatus(), Command{Kind: Swap, Version: s.plan.Version})
}

func (s *Swapper) sendStatus() []Command {
	var commands []Command
	for _, peers := range [][]sillid.TargetID{s.position.before, s.position.after} {
		for _, t := range peers {
			commands = append(commands, Command{Kind: SendStatus, Peer: t, Status: s.Status()})
		}
	}
	return commands
}

func (s *Swapper) pollStatuses(now time.Time) []Command {
	if now.Before(s.nextPoll) {
		return nil
	}
	s.nextPoll = now.Add(s.StatusPollInterval)
	var commands []Command
	for _, peers := range [][]sillid.TargetID{s.position.before, s.position.after} {
		for _, t := range peers {
			if !s.ended[t] {
				commands = append(commands, Command{Kind: RequestStatus, Peer: t})
			}
		}
	}
	return commands
}
