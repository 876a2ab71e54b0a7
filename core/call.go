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
	phaseWaitingForTokens phase = iota
	phaseWaitingForRecord
	phaseQueued    // in the gate's queue
	phaseRunning   // at the local target
	phaseForwarded // at another node
	phaseDecided   // refused or answered, the end not yet reported
)

// failedChildren is how many failed child requests a call remembers, so that
// its target's own repeats of them are charged to its budget.
const maxFailedChildren = 4

// call is one call that this node takes part in.
type call struct {
	id              CallID
	requestID       string // the sender's name for it
	origin          Origin
	phase           phase
	route           string
	service         string
	workspace       string
	entryService    string // service beside whose node it entered, if that is another
	weight          float64
	rank            admit.Rank
	deadline        time.Time
	maxTokenWait    time.Duration // that it may wait for a token
	once            bool
	idempotencyKey  retry.IdempotencyKey // zero unless at most once under an Idempotency-Key
	budget          retry.Budget
	borrowedRetries int    // taken from the parent's budget
	parent          CallID // 0 if none
	requestHash     uint64
	replayable      bool // the request can be sent again

	endpoint          *route.Endpoint
	attempts          int // made, those turned away by other nodes included
	targetAttempts    int // that may have reached a target
	maxTargetAttempts int // that may reach a target, 0 for any number
	lentRetries       int // budget passed to the node it was forwarded to
	attemptStart      time.Time
	executed          Executed
	level             admit.Level // highest level reported below

	childCalls        []plan.ChildCalls // calls that the target made for it
	openChildren      int               // child calls that have not ended
	blockedSince      time.Time
	blocked           time.Duration // time with open child calls
	failedChildren    [maxFailedChildren]uint64
	failedChildCount  int
	replicasRequested int // nodes asked to keep a record of the call
	acksPending       int // Recorded messages still to come
	reportsEnd        bool
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
func (s *State) removeCall(now time.Time, c *call, succeeded bool) {
	delete(s.calls, c.id)
	if s.runningByRequestID[c.requestID] == c {
		delete(s.runningByRequestID, c.requestID)
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
	p.budget.Return(c.borrowedRetries, c.budget.Remaining())
	p.level = max(p.level, c.level)
	p.openChildren--
	if p.openChildren == 0 {
		p.blocked += now.Sub(p.blockedSince)
	}
	if !succeeded {
		p.failedChildren[p.failedChildCount%maxFailedChildren] = c.requestHash
		p.failedChildCount++
	}
}

// repeats reports whether a child request has failed before under the call.
func (c *call) hasFailedChild(request uint64) bool {
	for _, r := range c.failedChildren[:min(c.failedChildCount, maxFailedChildren)] {
		if r == request {
			return true
		}
	}
	return false
}

// decide hands out the verdict on a call, with what it was decided from.
func (s *State) emitVerdict(now time.Time, c *call, v Verdict) {
	v.Call = c.id
	stats := s.gate.Stats()
	v.Inputs = VerdictInputs{
		Workspace: c.workspace, ManifestVersion: s.manifestVersion(), ManifestAge: now.Sub(s.manifestConfirmedAt), Remaining: c.deadline.Sub(now),
		Attempt: c.attempts, Running: stats.Running, Queued: stats.Queued, Load: stats.LoadRatio(),
	}
	s.effects.Verdicts = append(s.effects.Verdicts, v)
}

// refuse ends a call that is not to run, or not again.
func (s *State) refuse(now time.Time, c *call, reason Reason) {
	s.emitVerdict(now, c, Verdict{
		Action: ActionRefuse, Reason: reason, Executed: c.executed,
		RetryAfter: retryAfter(reason), Level: s.upstreamLevel(c), UnspentRetries: c.budget.Remaining(),
	})
	s.removeCall(now, c, false)
}

// reported returns the level that goes upstream with a call's answer.
func (s *State) upstreamLevel(c *call) admit.Level {
	if c.endpoint != nil && c.endpoint.Local {
		return max(c.level, s.gate.Level(c.workspace))
	}
	return c.level
}

// keepShare of a bucket is left by the least important calls for the most important.
const reservedShare = 0.3

// keep returns the share of a bucket that calls of a class leave for those above it.
func (s *State) reservedShareFor(class uint8) float64 {
	if !s.plannedAdmission || s.manifest.topClass == 0 {
		return 0
	}
	return reservedShare * (1 - float64(class)/float64(s.manifest.topClass))
}

// patienceShare of its latency objective a call may wait for a token: one that is
// refused later has lost the time to come back.
const tokenWaitShare = 1.0 / 4

const (
	shortRetryAfter = 1 * time.Second
	longRetryAfter  = 5 * time.Second
)

func retryAfter(reason Reason) time.Duration {
	switch reason {
	case ReasonOverQuota, ReasonShed, ReasonOverloaded, ReasonNoEndpoint, ReasonAttemptFailed, ReasonDraining, ReasonDeadlineExceeded:
		return shortRetryAfter
	case ReasonQuotaUnavailable, ReasonNoManifest, ReasonIsolated:
		return longRetryAfter
	default:
		return 0
	}
}
