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
	Workspace  string  `json:"workspace"`
	Key        string  `json:"key,omitempty"`
	Method     string  `json:"method"`
	Path       string  `json:"path"`
	Rate       float64 `json:"rate"` // calls a second
	Important  bool    `json:"important,omitempty"`
	AtMostOnce bool    `json:"once,omitempty"`
}

// LoadConfig describes an open-loop load: calls start on schedule whether or not
// earlier ones have ended.
type LoadConfig struct {
	EntryAddresses     []netip.AddrPort
	Streams            []Stream
	Duration           time.Duration
	Seed               uint64
	AttemptTimeout     time.Duration // of one attempt
	MaxRetries         int           // attempts after the first
	MeanRetryDelay     time.Duration // mean time before another attempt
	SendIdempotencyKey bool          // once calls carry an Idempotency-Key and may be repeated
	RootPrefix         string        // of root names, to tell runs apart
	OnCallEnd          func(Sample)  // called for each ended call, from many goroutines
}

// Sample is one call of a stream, with all its attempts.
type Sample struct {
	Stream           int
	RootID           string
	Start            time.Duration // scheduled, from the start of the load
	Latency          time.Duration // from the scheduled start
	Status           int           // of the last attempt, 0 if there was no answer
	Reason           string        // of a refusal
	Executed         string        // of a refusal
	Attempts         int
	ResponseMismatch bool // the answer was another call's, or not whole
	NotExecuted      int  // attempts refused as not run
}

// OK reports whether the call was answered whole and well.
func (s *Sample) OK() bool { return s.Status == http.StatusOK && !s.ResponseMismatch }

// LoadGenerator sends a load and returns its samples.
type LoadGenerator struct {
	LoadConfig
	client  *http.Client
	mu      sync.Mutex
	samples []Sample
}

// NewLoadGenerator returns a load that Run is yet to start.
func NewLoadGenerator(c LoadConfig) *LoadGenerator {
	return &LoadGenerator{LoadConfig: c, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true},
	}}
}

// Run sends the load until its duration or the context ends, and waits for every
// call.
func (l *LoadGenerator) Run(ctx context.Context) []Sample {
	var group sync.WaitGroup
	start := time.Now()
	for i := range l.Streams {
		group.Go(func() { l.runStream(ctx, i, start, &group) })
	}
	group.Wait()
	l.client.CloseIdleConnections()
	return l.samples
}

func (l *LoadGenerator) runStream(ctx context.Context, stream int, start time.Time, group *sync.WaitGroup) {
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
		entry := l.EntryAddresses[rng.IntN(len(l.EntryAddresses))]
		root := fmt.Sprintf("%s%d-%d", l.RootPrefix, stream, n)
		seed := rng.Uint64()
		group.Go(func() { l.runCall(ctx, stream, root, at, start, entry, seed) })
	}
}

// runCall makes a call and repeats it as a determined caller would.
func (l *LoadGenerator) runCall(ctx context.Context, stream int, root string, at time.Duration, start time.Time, entry netip.AddrPort, seed uint64) {
	s := Sample{Stream: stream, RootID: root, Start: at}
	rng := rand.New(rand.NewPCG(seed, 1))
	for {
		s.Attempts++
		l.sendAttempt(ctx, &s, entry)
		if s.OK() || s.Attempts > l.MaxRetries || ctx.Err() != nil || !l.shouldRetry(&s) {
			break
		}
		time.Sleep(time.Duration((0.5 + rng.Float64()) * float64(l.MeanRetryDelay)))
		entry = l.EntryAddresses[rng.IntN(len(l.EntryAddresses))]
	}
	s.Latency = time.Since(start.Add(at))
	if l.OnCallEnd != nil {
		l.OnCallEnd(s)
	}
	l.mu.Lock()
	l.samples = append(l.samples, s)
	l.mu.Unlock()
}

// shouldRetry reports whether a caller in its right mind would try again.
func (l *LoadGenerator) shouldRetry(s *Sample) bool {
	if s.Status >= 400 && s.Status < 500 && s.Status != http.StatusTooManyRequests {
		return false
	}
	return !l.Streams[s.Stream].AtMostOnce || l.SendIdempotencyKey || s.Executed == "no"
}

func (l *LoadGenerator) sendAttempt(ctx context.Context, s *Sample, entry netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, l.AttemptTimeout)
	defer cancel()
	stream := &l.Streams[s.Stream]
	s.Status, s.Reason, s.Executed, s.ResponseMismatch = 0, "", "", false
	req, err := http.NewRequestWithContext(ctx, stream.Method, "http://"+entry.String()+stream.Path, nil)
	if err != nil {
		return
	}
	req.Header.Set(RootHeader, s.RootID)
	req.Header.Set("Traceparent", traceparent(s))
	if stream.Key != "" {
		req.Header.Set("Authorization", "Bearer "+stream.Key)
	}
	if stream.AtMostOnce && l.SendIdempotencyKey {
		req.Header.Set("Idempotency-Key", s.RootID)
	}
	res, err := l.client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	s.Reason, s.Executed = res.Header.Get("Celery-Reason"), res.Header.Get("Celery-Ran")
	if err != nil {
		s.ResponseMismatch = false
		return
	}
	s.Status = res.StatusCode
	if s.Executed == "no" {
		s.NotExecuted++
	}
	s.ResponseMismatch = res.StatusCode == http.StatusOK && !strings.Contains(string(body), " "+s.RootID+"\n")
}

// traceparent names the trace of a call, alike for all its attempts, as callers
// with tracing do.
func traceparent(s *Sample) string {
	id := sha256.Sum256([]byte(s.RootID))
	return fmt.Sprintf("00-%x-%016x-00", id[:16], s.Attempts)
}
