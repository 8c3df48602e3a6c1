package sillweight

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// State is how far a target is with the version that it has adopted.
type State string

const (
	// Waiting targets serve an earlier version.
	Waiting State = "waiting"
	// Swapping targets may not serve: their engine has an order to load.
	Swapping State = "swapping"
	// Done targets serve the version.
	Done State = "done"
	// OutOfService targets failed to load and do not serve.
	OutOfService State = "out"
	// Ended targets have ended; gateways tell so.
	Ended State = "gone"
)

// Status is what a target tells the members of its group, on each change and
// again when they ask.
type Status struct {
	Target  sillid.TargetID      `cbor:"1,keyasint"`
	Version sillid.WeightVersion `cbor:"2,keyasint"`
	State   State                `cbor:"3,keyasint"`
}

// CommandKind names what a Swapper wants done.
type CommandKind string

const (
	// FetchStore reads the version from the weight store; answer with Fetched.
	FetchStore CommandKind = "fetch-store"
	// FetchPeer reads it from another agent, which answers once it has the
	// version itself; answer with Fetched.
	FetchPeer CommandKind = "fetch-peer"
	// Swap takes the target out of serving and orders its engine to load the
	// version; answer with Swapped.
	Swap CommandKind = "swap"
	// Serve puts the target back into serving.
	Serve CommandKind = "serve"
	// TakeOutOfService reports a target that failed for good and stays out of serving.
	TakeOutOfService CommandKind = "take-out"
	// SendStatus sends the own status to a member of the group.
	SendStatus CommandKind = "tell"
	// RequestStatus asks a member of the group for its status; answer with Hear.
	RequestStatus CommandKind = "ask"
)

// Command is one thing that a Swapper wants done.
type Command struct {
	Kind    CommandKind
	Version sillid.WeightVersion
	// Peer is set for FetchPeer, Tell and Ask.
	Peer sillid.TargetID
	// Status is set for Tell.
	Status Status
}

// Config holds what a Swapper needs.
type Config struct {
	Target sillid.TargetID
	// Retries is the number of further loads after a failed one.
	Retries int
	// RetryDelay is the time before a fetch or load is tried again.
	RetryDelay time.Duration
	// StatusPollInterval is the time between two questions to the group while waiting; it
	// makes up for lost statuses.
	StatusPollInterval time.Duration
}

// Swapper decides when one target fetches and loads a version.
//
// A target starts a load only if, as far as its group has told,
//   - every member before it is done with the same version, out or gone,
//   - every member after it has adopted the version and is not loading, and
//   - at most Spare members are out.
//
// What a member has told stays true until the asking target is done itself or
// adopts a later version, so late, lost and repeated statuses do no harm, and at
// most one member of a group loads at a time.
type Swapper struct {
	Config
	plan  Plan
	place place
	state State
	// loaded is the version that the engine serves or served last.
	loaded sillid.WeightVersion
	// fetched tells whether the plan's version is at hand.
	fetched  bool
	fetching bool
	// fetches counts the attempts to fetch the plan's version.
	fetches  int
	nextTry  time.Time
	nextAsk  time.Time
	failures int
	// takenOut is set from TakeOut to the next Serve. A target can be out without
	// it, if it told its group so before its engine was known.
	takenOut bool
	// loading is the version of the open order to the engine, 0 if there is none.
	loading sillid.WeightVersion
	others  map[sillid.TargetID]Status
	// ended are the members that gateways have told to be gone.
	ended map[sillid.TargetID]bool
}

// NewSwapper returns the Swapper of a target whose engine serves the version loaded.
func NewSwapper(cfg Config, loaded sillid.WeightVersion) *Swapper {
	return &Swapper{
		Config: cfg,
		state:  Done,
		loaded: loaded,
		others: make(map[sillid.TargetID]Status),
		ended:  make(map[sillid.TargetID]bool),
	}
}

// MarkOutOfService has a target that told its group that it is out go on so: the group
// takes no earlier state of the same version any more. It loads as one that is
// out, without waiting for the others.
func (s *Swapper) MarkOutOfService() { s.state = OutOfService }

// Status returns what the target tells its group.
func (s *Swapper) Status() Status {
	return Status{Target: s.Target, Version: s.plan.Version, State: s.state}
}

// Adopt takes a plan that a gateway told of; one that is not newer has no effect.
func (s *Swapper) Adopt(now time.Time, plan Plan) []Command {
	if plan.Version <= s.plan.Version {
		return nil
	}
	s.plan = plan
	s.place, _ = plan.place(s.Target)
	s.fetched, s.fetching, s.fetches = false, false, 0
	s.nextTry, s.nextAsk = now, now
	s.failures = 0
	if s.state == Done {
		s.state = Waiting
	}
	if s.loaded >= plan.Version && (s.state == Waiting || s.state == OutOfService) {
		s.state = Done
	}
	return append(s.tell(), s.Tick(now)...)
}

// HandleStatus takes a member's status, or its answer to a question.
func (s *Swapper) HandleStatus(now time.Time, status Status) []Command {
	old, ok := s.others[status.Target]
	if ok && (status.Version < old.Version || (status.Version == old.Version && older(status.State, old.State))) {
		return nil
	}
	s.others[status.Target] = status
	delete(s.ended, status.Target)
	return s.Tick(now)
}

// progress orders the states that a target passes through with one version.
var progress = map[State]int{Swapping: 0, Waiting: 1, OutOfService: 2, Done: 3}

// older tells whether a status with state a was overtaken by one with state b.
// A load of an earlier version may end after the adoption, so Swapping comes
// before Waiting; the member's own load follows only after this target's.
func older(a, b State) bool {
	return progress[a] < progress[b]
}

// HandleMemberEnded notes that a member has ended, as gateways tell. It is told again every
// second, since a late status of the member undoes it.
func (s *Swapper) HandleMemberEnded(now time.Time, target sillid.TargetID) []Command {
	s.ended[target] = true
	return s.Tick(now)
}

// HandleFetchResult notes the end of a fetch.
func (s *Swapper) HandleFetchResult(now time.Time, version sillid.WeightVersion, err error) []Command {
	if version != s.plan.Version {
		return nil
	}
	s.fetching = false
	if err != nil {
		s.nextTry = now.Add(s.RetryDelay)
		return s.Tick(now)
	}
	s.fetched = true
	return s.Tick(now)
}

// HandleLoadResult notes the end of a load. An unknown outcome is resolved by the
// engine's own word on its version before this is called.
func (s *Swapper) HandleLoadResult(now time.Time, version sillid.WeightVersion, err error) []Command {
	if version != s.loading {
		return nil
	}
	s.loading = 0
	if err != nil {
		return s.loadFailed(now)
	}
	s.loaded, s.failures = version, 0
	if s.state == OutOfService && version < s.plan.Version {
		// The group counts it as out with the later version, so it loads that before it serves.
		return s.Tick(now)
	}
	s.state, s.takenOut = Done, false
	if version < s.plan.Version {
		s.state = Waiting
	}
	commands := append([]Command{{Kind: Serve, Version: version}}, s.tell()...)
	return append(commands, s.Tick(now)...)
}

// loadFailed retries, or keeps the target out until the next version.
func (s *Swapper) loadFailed(now time.Time) []Command {
	s.failures++
	s.nextTry = now.Add(s.RetryDelay)
	if s.failures <= s.Retries || s.takenOut {
		return s.Tick(now)
	}
	s.state, s.takenOut = OutOfService, true
	return append([]Command{{Kind: TakeOutOfService, Version: s.plan.Version}}, s.tell()...)
}

// Tick returns what is due at now. The agent calls it every AskEvery.
func (s *Swapper) Tick(now time.Time) []Command {
	if s.plan.Version == 0 || s.state == Done || s.loading != 0 || now.Before(s.nextTry) {
		return nil
	}
	if !s.fetched {
		return s.fetch()
	}
	if s.mayLoad() {
		return s.load()
	}
	return s.ask(now)
}

// fetch asks the nearest source first, then each above it, then the store.
func (s *Swapper) fetch() []Command {
	if s.fetching {
		return nil
	}
	s.fetching = true
	n := s.fetches % (len(s.place.sources) + 1)
	s.fetches++
	if n == len(s.place.sources) {
		return []Command{{Kind: FetchStore, Version: s.plan.Version}}
	}
	return []Command{{Kind: FetchPeer, Version: s.plan.Version, Peer: s.place.sources[n]}}
}

// mayLoad applies the rules above. A target that is out already loads whenever
// it has not used its attempts up.
func (s *Swapper) mayLoad() bool {
	if s.state == OutOfService {
		return s.failures <= s.Retries
	}
	if s.state == Swapping {
		return true
	}
	out := 0
	for _, t := range s.place.before {
		other := s.others[t]
		settled := other.State == Done || other.State == OutOfService
		if !s.ended[t] && (other.Version != s.plan.Version || !settled) {
			return false
		}
		out += s.countOut(t)
	}
	for _, t := range s.place.after {
		other := s.others[t]
		if !s.ended[t] && (other.Version < s.plan.Version || other.State == Swapping) {
			return false
		}
		out += s.countOut(t)
	}
	return out <= s.plan.MaxFailedPerGroup
}

func (s *Swapper) countOut(t sillid.TargetID) int {
	if s.others[t].State == OutOfService && !s.ended[t] {
		return 1
	}
	return 0
}

func (s *Swapper) load() []Command {
	s.loading = s.plan.Version
	if s.state == Waiting {
		s.state = Swapping
	}
	return append(s.tell(), Command{Kind: Swap, Version: s.plan.Version})
}

func (s *Swapper) tell() []Command {
	var commands []Command
	for _, peers := range [][]sillid.TargetID{s.place.before, s.place.after} {
		for _, t := range peers {
			commands = append(commands, Command{Kind: SendStatus, Peer: t, Status: s.Status()})
		}
	}
	return commands
}

func (s *Swapper) ask(now time.Time) []Command {
	if now.Before(s.nextAsk) {
		return nil
	}
	s.nextAsk = now.Add(s.StatusPollInterval)
	var commands []Command
	for _, peers := range [][]sillid.TargetID{s.place.before, s.place.after} {
		for _, t := range peers {
			if !s.ended[t] {
				commands = append(commands, Command{Kind: RequestStatus, Peer: t})
			}
		}
	}
	return commands
}
