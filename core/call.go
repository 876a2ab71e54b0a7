package core

import (
	"time"

	"celeryshelf/core/admit"
	"celeryshelf/core/plan"
	"celeryshelf/core/retry"
	"celeryshelf/core/route"
)

// phase is the state of a call at this node.
type phase uint8

const (
	phaseWaitingForTokens phase = iota
	phaseWaitingForAcks
	phaseQueued     // in the gate's queue
	phaseRunning    // at the local target
	phaseForwarded  // sent to another node
	phaseDelivering // the target's refusal is being returned to the sender
)

// maxFailedChildren is the number of failed child requests that a call remembers. A
// repeat of one of them by the target is charged to the call's retry budget.
const maxFailedChildren = 4

// call is a call that this node takes part in.
type call struct {
	id              CallID
	requestID       string // set by the sender
	origin          Origin
	phase           phase
	route           string
	service         string
	workspace       string
	entryService    string // service of the node at which it entered, if that is another node
	weight          float64
	rank            admit.Rank
	deadline        time.Time
	maxTokenWait    time.Duration // longest time that it may wait for a token
	objective       time.Duration // latency objective of its route, or the timeout if it has none
	atMostOnce      bool
	idempotencyKey  retry.IdempotencyKey // zero unless it must run at most once and has an Idempotency-Key
	budget          retry.Budget
	borrowedRetries int    // retries taken from the parent's budget
	parent          CallID // 0 if none
	requestHash     uint64
	replayable      bool // the request can be sent again

	endpoint          *route.Endpoint
	attempts          int      // attempts made, including those refused by other nodes
	targetAttempts    int      // attempts that may have reached a target
	maxTargetAttempts int      // limit of targetAttempts, 0 for none
	excluded          []string // endpoints whose target has declined the call
	lentRetries       int      // retry budget passed to the node it was forwarded to
	attemptStart      time.Time
	executed          Executed
	cost              time.Duration // estimated for the local target
	startSlowness     float64       // of the local target, 0 if unknown
	level             admit.Level   // highest admission level reported downstream

	childCalls        []plan.ChildCalls // calls that the target made on its behalf
	openChildren      int               // child calls that have not ended
	blockedSince      time.Time         // when openChildren last became positive
	blocked           time.Duration     // time with open child calls, excluding the current period
	failedChildren    [maxFailedChildren]uint64
	failedChildCount  int
	succeededChildren int
	unattributed      bool // made by the local target, for a running call that it does not name
	replicasRequested int  // nodes asked to store a record of the call
	acksPending       int  // acknowledgments of the record still expected
	reportsEnd        bool // its end is reported with ActionSettle
}

func (s *State) newCall(id CallID) *call {
	var c *call
	if n := len(s.freeCalls); n > 0 {
		c, s.freeCalls = s.freeCalls[n-1], s.freeCalls[:n-1]
		*c = call{excluded: c.excluded[:0]}
	} else {
		c = &call{}
	}
	c.id = id
	s.calls[id] = c
	return c
}

// removeCall removes a call and updates its parent.
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
	if succeeded {
		p.succeededChildren++
	} else {
		p.failedChildren[p.failedChildCount%maxFailedChildren] = c.requestHash
		p.failedChildCount++
	}
}

// hasFailedChild reports whether a child request with this hash has failed before.
func (c *call) hasFailedChild(request uint64) bool {
	for _, r := range c.failedChildren[:min(c.failedChildCount, maxFailedChildren)] {
		if r == request {
			return true
		}
	}
	return false
}

// emitVerdict adds a verdict to the effects, with the end of the call and the inputs it was based on.
func (s *State) emitVerdict(now time.Time, c *call, v Verdict) {
	v.Call, v.Deadline = c.id, c.deadline
	stats := s.gate.Stats()
	v.Inputs = VerdictInputs{
		Workspace: c.workspace, ManifestVersion: s.manifestVersion(), ManifestAge: now.Sub(s.manifestConfirmedAt), Remaining: c.deadline.Sub(now),
		Attempt: c.attempts, Running: stats.Running, Queued: stats.Queued, Load: stats.LoadRatio(),
		Work: s.effects.Work, ColdFor: s.warmup.target.Remaining(now),
	}
	s.effects.Verdicts = append(s.effects.Verdicts, v)
}

// refuse ends a call that must not run, or not again.
func (s *State) refuse(now time.Time, c *call, reason Reason) {
	s.emitVerdict(now, c, Verdict{
		Action: ActionRefuse, Reason: reason, Executed: c.executed,
		RetryAfter: c.retryAfter(reason), Level: s.upstreamLevel(c), UnspentRetries: c.budget.Remaining(),
	})
	s.removeCall(now, c, false)
}

// upstreamLevel returns the admission level that is reported upstream with a call's
// response.
func (s *State) upstreamLevel(c *call) admit.Level {
	if c.endpoint != nil && c.endpoint.Local {
		return max(c.level, s.gate.Level(c.workspace))
	}
	return c.level
}

// reservedShare is the share of a token bucket that calls of the lowest class leave
// for those of the highest.
const reservedShare = 0.3

// reservedShareFor returns the share of a token bucket that calls of a class leave
// for higher classes.
func (s *State) reservedShareFor(class uint8) float64 {
	if !s.plannedAdmission || s.manifest.topClass == 0 {
		return 0
	}
	return reservedShare * (1 - float64(class)/float64(s.manifest.topClass))
}

// tokenWaitShare is the share of a route's latency objective that a call may wait
// for a token. After a later refusal too little time would be left for a retry by
// the caller.
const tokenWaitShare = 1.0 / 4

const (
	// retryAfterShare is the share of a route's latency objective after which a refused
	// caller may try again: late enough for tokens and slots to become free, and early enough
	// for the second try to be answered within the objective.
	retryAfterShare = 1.0 / 4
	// retryAfterSpread is the range of the random factor, around 1, that keeps callers which
	// were refused together from returning together.
	retryAfterSpread = 0.5
	minRetryAfter    = 30 * time.Millisecond
	maxRetryAfter    = 1 * time.Second
	// longRetryFactor multiplies the delay after a refusal whose cause lasts longer than a
	// shortage of slots or tokens: a takeover of shards, the loss of the store, or a service
	// whose targets decline calls.
	longRetryFactor = 4
)

// retryAfter returns how long the caller of a refused call should wait, or 0 if another try
// cannot succeed.
func (c *call) retryAfter(reason Reason) time.Duration {
	objective := c.objective
	if objective == 0 {
		objective = maxRetryAfter / longRetryFactor
	}
	random := randomFraction(c.id)
	delay := retryAfterShare * float64(objective) * (1 - retryAfterSpread/2 + retryAfterSpread*random)
	short := min(maxRetryAfter, max(minRetryAfter, time.Duration(delay)))
	switch reason {
	case ReasonOverQuota, ReasonShed, ReasonOverloaded, ReasonNoEndpoint, ReasonAttemptFailed, ReasonDraining, ReasonDeadlineExceeded, ReasonTargetCold:
		return short
	case ReasonQuotaUnavailable, ReasonNoManifest, ReasonIsolated:
		return longRetryFactor * short
	default:
		return 0
	}
}
