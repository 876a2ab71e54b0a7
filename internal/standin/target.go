package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"celeryshelf/core/manifest"
)

// RootHeader is the header that carries the ID of the root call. Targets copy it to
// their child calls.
const RootHeader = "X-Root"

// ChildCall is a call that a target makes while it serves another.
type ChildCall struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Behaviour describes how a target serves one path.
type Behaviour struct {
	Path          string            `json:"path"`
	ServiceTime   manifest.Duration `json:"time"` // without the child calls
	ChildCalls    []ChildCall       `json:"children,omitempty"`
	PaddingBytes  int               `json:"size,omitempty"`  // appended to the response line
	ChildAttempts int               `json:"tries,omitempty"` // attempts per child call; 0 means 1
}

// TargetConfig configures a Target.
type TargetConfig struct {
	Name               string            `json:"name"`
	Listen             netip.AddrPort    `json:"listen"`
	NodeAddress        netip.AddrPort    `json:"outgoing"` // of the local node, through which child calls go
	Slots              int               `json:"slots"`
	QueueLimit         int               `json:"queue"` // calls that may wait for a slot; more are rejected
	WarmUp             manifest.Duration `json:"cold"`  // period after the start with longer service times
	Behaviours         []Behaviour       `json:"behaviours"`
	IgnoreCancellation bool              `json:"careless,omitempty"` // keeps queueing and working after the caller has disconnected
}

// TargetFaults configures the faults that a Target injects.
type TargetFaults struct {
	ServiceTimeFactor float64       `json:"factor"` // multiplies the service time; 0 means 1
	ErrorRatio        float64       `json:"fail"`   // share of calls that are answered with 500
	ResponseDelay     time.Duration `json:"delay"`  // between the end of the work and the response
}

const (
	warmUpFactor = 5 // multiplies the service time during the warm-up
	// goldenRatioFraction yields a low-discrepancy sequence: the fractional parts of its
	// multiples by consecutive integers are spread evenly over [0, 1), so that the share
	// of failed calls is close to ErrorRatio in every stretch of calls.
	goldenRatioFraction = math.Phi - 1
)

// RunStats counts the runs of one path for one root call at a target.
type RunStats struct {
	RootID       string        `json:"root"`
	Path         string        `json:"path"`
	Count        int           `json:"runs"`
	WorkDuration time.Duration `json:"work"` // over all runs, without child calls
	FirstStart   time.Time     `json:"began"`
}

type runKey struct{ root, path string }

// Target simulates a target with a limited number of slots and a bounded queue.
type Target struct {
	TargetConfig
	behaviourByPath map[string]Behaviour
	slots           chan struct{}
	queued          atomic.Int64
	startTime       time.Time
	client          *http.Client
	faults          atomic.Pointer[TargetFaults]
	completedCount  atomic.Uint64

	mu       sync.Mutex
	runStats map[runKey]*RunStats
}

// NewTarget returns a target whose warm-up begins now.
func NewTarget(c TargetConfig) *Target {
	t := &Target{
		TargetConfig: c, behaviourByPath: map[string]Behaviour{}, startTime: time.Now(),
		slots: make(chan struct{}, max(1, c.Slots)), runStats: map[runKey]*RunStats{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
	}
	for _, b := range c.Behaviours {
		t.behaviourByPath[b.Path] = b
	}
	t.faults.Store(&TargetFaults{})
	return t
}

// ServeHTTP serves the configured paths and the control paths /standin/faults and
// /standin/runs.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/standin/faults":
		var f TargetFaults
		if decodeRequest(w, r, &f) {
			t.faults.Store(&f)
		}
	case "/standin/runs":
		_ = json.NewEncoder(w).Encode(t.RunStats())
	default:
		t.handleCall(w, r)
	}
}

// RunStats returns the statistics of each root call and path, in no particular order.
func (t *Target) RunStats() []RunStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]RunStats, 0, len(t.runStats))
	for _, r := range t.runStats {
		out = append(out, *r)
	}
	return out
}

func (t *Target) handleCall(w http.ResponseWriter, r *http.Request) {
	b, ok := t.behaviourByPath[r.URL.Path]
	if !ok {
		http.NotFound(w, r)
		return
	}
	if !t.acquireSlot(r.Context()) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slots }()
	_, _ = io.Copy(io.Discard, r.Body)
	status := t.simulateWork(r, b)
	time.Sleep(t.faults.Load().ResponseDelay)
	t.writeResponse(w, r, b, status)
}

// acquireSlot takes a slot, waiting for one if the queue has room. It returns false if
// the queue is full or ctx ends first.
func (t *Target) acquireSlot(ctx context.Context) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	if t.queued.Add(1) > int64(t.QueueLimit) {
		t.queued.Add(-1)
		return false
	}
	defer t.queued.Add(-1)
	if t.IgnoreCancellation {
		ctx = context.WithoutCancel(ctx)
	}
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// simulateWork spends half of the service time, makes the child calls, spends the other
// half, and returns the response status.
func (t *Target) simulateWork(r *http.Request, b Behaviour) int {
	f := t.faults.Load()
	d := b.ServiceTime.Duration
	if f.ServiceTimeFactor > 0 {
		d = time.Duration(float64(d) * f.ServiceTimeFactor)
	}
	if time.Since(t.startTime) < t.WarmUp.Duration {
		d *= warmUpFactor
	}
	root := r.Header.Get(RootHeader)
	run := t.recordStart(root, b.Path)
	if !t.consumeTime(r.Context(), run, d/2) {
		return http.StatusServiceUnavailable
	}
	for _, c := range b.ChildCalls {
		if !t.sendChildCall(r, c, max(1, b.ChildAttempts)) {
			return http.StatusBadGateway
		}
	}
	if !t.consumeTime(r.Context(), run, d-d/2) {
		return http.StatusServiceUnavailable
	}
	if _, fraction := math.Modf(float64(t.completedCount.Add(1)) * goldenRatioFraction); fraction < f.ErrorRatio {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

func (t *Target) recordStart(root, path string) *RunStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := runKey{root, path}
	run, ok := t.runStats[key]
	if !ok {
		run = &RunStats{RootID: root, Path: path, FirstStart: time.Now()}
		t.runStats[key] = run
	}
	run.Count++
	return run
}

// consumeTime waits for d, adds the time to the run, and reports whether the wait
// completed, as opposed to being cut short by the caller's disconnecting.
func (t *Target) consumeTime(ctx context.Context, run *RunStats, d time.Duration) bool {
	if t.IgnoreCancellation {
		ctx = context.WithoutCancel(ctx)
	}
	start := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	completed := true
	select {
	case <-timer.C:
	case <-ctx.Done():
		completed = false
	}
	t.mu.Lock()
	run.WorkDuration += min(d, time.Since(start))
	t.mu.Unlock()
	return completed
}

// sendChildCall makes a child call through the node, passing on the trace, root and
// timeout headers of r. It reports whether one of the attempts succeeded.
func (t *Target) sendChildCall(r *http.Request, c ChildCall, tries int) bool {
	for range tries {
		req, err := http.NewRequestWithContext(r.Context(), c.Method, "http://"+t.NodeAddress.String()+c.Path, nil)
		if err != nil {
			return false
		}
		for _, name := range []string{"Traceparent", RootHeader, "Celery-Timeout"} {
			if v := r.Header.Get(name); v != "" {
				req.Header.Set(name, v)
			}
		}
		res, err := t.client.Do(req)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if err == nil && res.StatusCode < http.StatusMultipleChoices {
			return true
		}
	}
	return false
}

func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, b Behaviour, status int) {
	w.Header().Set("X-Target", t.Name)
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s %s %s\n", t.Name, r.URL.Path, r.Header.Get(RootHeader))
	if b.PaddingBytes > 0 {
		_, _ = w.Write(make([]byte, b.PaddingBytes))
	}
}
