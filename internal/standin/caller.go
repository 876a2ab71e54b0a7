package standin

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Stream is a flow of like calls of one workspace.
type Stream struct {
	Workspace string  `json:"workspace"`
	Key       string  `json:"key,omitempty"`
	Method    string  `json:"method"`
	Path      string  `json:"path"`
	Rate      float64 `json:"rate"` // calls a second
	Important bool    `json:"important,omitempty"`
	Once      bool    `json:"once,omitempty"`
}

// LoadConfig describes an open-loop load: calls start on schedule whether or not
// earlier ones have ended.
type LoadConfig struct {
	Entries  []netip.AddrPort
	Streams  []Stream
	Duration time.Duration
	Seed     uint64
	Timeout  time.Duration // of one attempt
	Retries  int           // attempts after the first
	Pause    time.Duration // mean time before another attempt
	Keyed    bool          // once calls carry an Idempotency-Key and may be repeated
	Prefix   string        // of root names, to tell runs apart
	Progress func(Sample)  // called for each ended call, from many goroutines
}

// Sample is one call of a stream, with all its attempts.
type Sample struct {
	Stream   int
	Root     string
	Start    time.Duration // scheduled, from the start of the load
	Latency  time.Duration // from the scheduled start
	Status   int           // of the last attempt, 0 if there was no answer
	Reason   string        // of a refusal
	Ran      string        // of a refusal
	Attempts int
	Crossed  bool // the answer was another call's, or not whole
	NotRun   int  // attempts refused as not run
}

// OK reports whether the call was answered whole and well.
func (s *Sample) OK() bool { return s.Status == http.StatusOK && !s.Crossed }

// Load sends a load and returns its samples.
type Load struct {
	LoadConfig
	client *http.Client
	mu     sync.Mutex
	out    []Sample
}

// NewLoad returns a load that Run is yet to start.
func NewLoad(c LoadConfig) *Load {
	return &Load{LoadConfig: c, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true},
	}}
}

// Run sends the load until its duration or the context ends, and waits for every
// call.
func (l *Load) Run(ctx context.Context) []Sample {
	var group sync.WaitGroup
	start := time.Now()
	for i := range l.Streams {
		group.Go(func() { l.schedule(ctx, i, start, &group) })
	}
	group.Wait()
	l.client.CloseIdleConnections()
	return l.out
}

func (l *Load) schedule(ctx context.Context, stream int, start time.Time, group *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(l.Seed, uint64(stream)))
	rate := l.Streams[stream].Rate
	if rate <= 0 {
		return
	}
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= l.Duration {
			return
		}
		t := time.NewTimer(time.Until(start.Add(at)))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		entry := l.Entries[rng.IntN(len(l.Entries))]
		root := fmt.Sprintf("%s%d-%d", l.Prefix, stream, n)
		seed := rng.Uint64()
		group.Go(func() { l.one(ctx, stream, root, at, start, entry, seed) })
	}
}

// one makes a call and repeats it as a determined caller would.
func (l *Load) one(ctx context.Context, stream int, root string, at time.Duration, start time.Time, entry netip.AddrPort, seed uint64) {
	s := Sample{Stream: stream, Root: root, Start: at}
	rng := rand.New(rand.NewPCG(seed, 1))
	for {
		s.Attempts++
		l.attempt(ctx, &s, entry)
		if s.OK() || s.Attempts > l.Retries || ctx.Err() != nil || !l.repeatable(&s) {
			break
		}
		time.Sleep(time.Duration((0.5 + rng.Float64()) * float64(l.Pause)))
		entry = l.Entries[rng.IntN(len(l.Entries))]
	}
	s.Latency = time.Since(start.Add(at))
	if l.Progress != nil {
		l.Progress(s)
	}
	l.mu.Lock()
	l.out = append(l.out, s)
	l.mu.Unlock()
}

// repeatable reports whether a caller in its right mind would try again.
func (l *Load) repeatable(s *Sample) bool {
	if s.Status >= 400 && s.Status < 500 && s.Status != http.StatusTooManyRequests {
		return false
	}
	return !l.Streams[s.Stream].Once || l.Keyed || s.Ran == "no"
}

func (l *Load) attempt(ctx context.Context, s *Sample, entry netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	stream := &l.Streams[s.Stream]
	s.Status, s.Reason, s.Ran, s.Crossed = 0, "", "", false
	req, err := http.NewRequestWithContext(ctx, stream.Method, "http://"+entry.String()+stream.Path, nil)
	if err != nil {
		return
	}
	req.Header.Set(RootHeader, s.Root)
	req.Header.Set("Traceparent", traceparent(s))
	if stream.Key != "" {
		req.Header.Set("Authorization", "Bearer "+stream.Key)
	}
	if stream.Once && l.Keyed {
		req.Header.Set("Idempotency-Key", s.Root)
	}
	res, err := l.client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	s.Reason, s.Ran = res.Header.Get("Celery-Reason"), res.Header.Get("Celery-Ran")
	if err != nil {
		s.Crossed = false
		return
	}
	s.Status = res.StatusCode
	if s.Ran == "no" {
		s.NotRun++
	}
	s.Crossed = res.StatusCode == http.StatusOK && !strings.Contains(string(body), " "+s.Root+"\n")
}

// traceparent names the trace of a call, alike for all its attempts, as callers
// with tracing do.
func traceparent(s *Sample) string {
	id := sha256.Sum256([]byte(s.Root))
	return fmt.Sprintf("00-%x-%016x-00", id[:16], s.Attempts)
}
