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

// RootHeader names the root call in every call of its tree.
const RootHeader = "X-Root"

// ChildCall is a call that a target makes while it runs one.
type ChildCall struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Behaviour is what a target does for one path.
type Behaviour struct {
	Path          string            `json:"path"`
	ServiceTime   manifest.Duration `json:"time"` // service time, children apart
	ChildCalls    []ChildCall       `json:"children,omitempty"`
	PaddingBytes  int               `json:"size,omitempty"`  // bytes of the answer
	ChildAttempts int               `json:"tries,omitempty"` // attempts at a child, 1 if 0
}

// TargetConfig describes a target stand-in.
type TargetConfig struct {
	Name               string            `json:"name"`
	Listen             netip.AddrPort    `json:"listen"`
	NodeAddress        netip.AddrPort    `json:"outgoing"` // its node, for its own calls
	Slots              int               `json:"slots"`
	QueueLimit         int               `json:"queue"` // calls that may wait for a slot before more are shed
	WarmUp             manifest.Duration `json:"cold"`  // time after the start in which it is slow
	Behaviours         []Behaviour       `json:"behaviours"`
	IgnoreCancellation bool              `json:"careless,omitempty"` // does not stop work when its caller leaves
}

// TargetFaults are the switches of a target stand-in.
type TargetFaults struct {
	ServiceTimeFactor float64       `json:"factor"` // multiplies the service time, 1 if 0
	ErrorRatio        float64       `json:"fail"`   // share of calls answered with 500
	ResponseDelay     time.Duration `json:"delay"`  // between the work and the answer
}

const (
	warmUpFactor = 5
	// goldenRatioFraction, times a serial number, has a fractional part that is spread
	// evenly over any run of numbers.
	goldenRatioFraction = math.Phi - 1
)

// RunStats is what a target did for one root call on one path.
type RunStats struct {
	RootID       string        `json:"root"`
	Path         string        `json:"path"`
	Count        int           `json:"runs"`
	WorkDuration time.Duration `json:"work"`
	FirstStart   time.Time     `json:"began"` // the first time
}

type runKey struct{ root, path string }

// Target is a target stand-in.
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

// NewTarget returns a target stand-in that starts cold now.
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

// ServeHTTP answers calls, and the stand-in's own paths.
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

// RunStats returns what was done for each root call and path.
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

// acquireSlot takes a slot, after a wait if the queue has room.
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

// simulateWork does half of the service time, the child calls, and the other half.
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
	if _, part := math.Modf(float64(t.completedCount.Add(1)) * goldenRatioFraction); part < f.ErrorRatio {
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

// consumeTime takes the time and reports whether the caller was still there.
func (t *Target) consumeTime(ctx context.Context, run *RunStats, d time.Duration) bool {
	if t.IgnoreCancellation {
		ctx = context.WithoutCancel(ctx)
	}
	start := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	whole := true
	select {
	case <-timer.C:
	case <-ctx.Done():
		whole = false
	}
	t.mu.Lock()
	run.WorkDuration += min(d, time.Since(start))
	t.mu.Unlock()
	return whole
}

// sendChildCall makes a child sendChildCall through the node, with the context of the sendChildCall served.
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
