package core

import (
	"time"

	"celeryshelf/core/admit"
	"celeryshelf/core/plan"
	"celeryshelf/core/retry"
	"celeryshelf/core/route"
)

// phase is where a call stands at this node.
type phase uint8

const (
	waitingQuota phase = iota
	waitingRecord
	queued     // in the gate's queue
	running    // at the local target
	forwarding // at another node
	judged     // refused or answered, the end not yet reported
)

// failedChildren is how many failed child requests a call remembers, so that
// its target's own repeats of them are charged to its budget.
const failedChildren = 4

// call is one call that this node takes part in.
type call struct {
	id        CallID
	name      string // the sender's name for it
	origin    Origin
	phase     phase
	route     string
	service   string
	workspace string
	from      string // service beside whose node it entered, if that is another
	weight    float64
	rank      admit.Rank
	deadline  time.Time
	patience  time.Duration // that it may wait for a token
	once      bool
	identity  retry.IdempotencyKey // zero unless at most once under an Idempotency-Key
	budget    retry.Budget
	loan      int    // taken from the parent's budget
	parent    CallID // 0 if none
	request   uint64
	repeat    bool // the request can be sent again

	endpoint *route.Endpoint
	attempts int // made, those turned away by other nodes included
	arrived  int // that may have reached a target
	allowed  int // that may reach a target, 0 for any number
	lent     int // budget passed to the node it was forwarded to
	began    time.Time
	ran      Executed
	level    admit.Level // highest level reported below

	made    []plan.ChildCalls // calls that the target made for it
	open    int               // child calls that have not ended
	idle    time.Time
	blocked time.Duration // time with open child calls
	failed  [failedChildren]uint64
	fails   int
	copies  int // nodes asked to keep a record of the call
	awaited int // Recorded messages still to come
	settles bool
}

func (s *State) newCall(id CallID) *call {
	var c *call
	if n := len(s.freeCalls); n > 0 {
		c, s.freeCalls = s.freeCalls[n-1], s.freeCalls[:n-1]
		*c = call{}
	} else {
		c = &call{}
	}
	c.id = id
	s.calls[id] = c
	return c
}

// end removes a call and settles with its parent.
func (s *State) end(now time.Time, c *call, ok bool) {
	delete(s.calls, c.id)
	if s.runningByRequestID[c.name] == c {
		delete(s.runningByRequestID, c.name)
	}
	s.freeCalls = append(s.freeCalls, c)
	if c.origin == FromCaller || c.origin == FromCallerOrTarget {
		s.retryBudgets.Return(c.budget)
	}
	if c.parent == 0 {
		return
	}
	p, found := s.calls[c.parent]
	if !found {
		return
	}
	p.budget.Return(c.loan, c.budget.Remaining())
	p.level = max(p.level, c.level)
	p.open--
	if p.open == 0 {
		p.blocked += now.Sub(p.idle)
	}
	if !ok {
		p.failed[p.fails%failedChildren] = c.request
		p.fails++
	}
}

// repeats reports whether a child request has failed before under the call.
func (c *call) repeats(request uint64) bool {
	for _, r := range c.failed[:min(c.fails, failedChildren)] {
		if r == request {
			return true
		}
	}
	return false
}

// decide hands out the verdict on a call, with what it was decided from.
func (s *State) decide(now time.Time, c *call, v Verdict) {
	v.Call = c.id
	stats := s.gate.Stats()
	v.Inputs = VerdictInputs{
		Workspace: c.workspace, ManifestVersion: s.manifestVersion(), ManifestAge: now.Sub(s.manifestConfirmedAt), Remaining: c.deadline.Sub(now),
		Attempt: c.attempts, Running: stats.Running, Queued: stats.Queued, Load: stats.LoadRatio(),
	}
	s.effects.Verdicts = append(s.effects.Verdicts, v)
}

// refuse ends a call that is not to run, or not again.
func (s *State) refuse(now time.Time, c *call, why Reason) {
	s.decide(now, c, Verdict{
		Action: ActionRefuse, Reason: why, Executed: c.ran,
		RetryAfter: retryAfter(why), Level: s.reported(c), UnspentRetries: c.budget.Remaining(),
	})
	s.end(now, c, false)
}

// reported returns the level that goes upstream with a call's answer.
func (s *State) reported(c *call) admit.Level {
	if c.endpoint != nil && c.endpoint.Local {
		return max(c.level, s.gate.Level(c.workspace))
	}
	return c.level
}

// keepShare of a bucket is left by the least important calls for the most important.
const keepShare = 0.3

// keep returns the share of a bucket that calls of a class leave for those above it.
func (s *State) keep(class uint8) float64 {
	if !s.plannedAdmission || s.manifest.topClass == 0 {
		return 0
	}
	return keepShare * (1 - float64(class)/float64(s.manifest.topClass))
}

// patienceShare of its latency objective a call may wait for a token: one that is
// refused later has lost the time to come back.
const patienceShare = 1.0 / 4

const (
	shortRetryAfter = 1 * time.Second
	longRetryAfter  = 5 * time.Second
)

func retryAfter(why Reason) time.Duration {
	switch why {
	case ReasonOverQuota, ReasonShed, ReasonOverloaded, ReasonNoEndpoint, ReasonAttemptFailed, ReasonDraining, ReasonDeadlineExceeded:
		return shortRetryAfter
	case ReasonQuotaUnavailable, ReasonNoManifest, ReasonIsolated:
		return longRetryAfter
	default:
		return 0
	}
}
