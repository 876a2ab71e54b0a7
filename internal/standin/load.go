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

// Stream is a Poisson stream of identical calls from one workspace.
type Stream struct {
	Workspace  string  `json:"workspace"`
	Key        string  `json:"key,omitempty"`
	Method     string  `json:"method"`
	Path       string  `json:"path"`
	Rate       float64 `json:"rate"` // mean calls per second
	Important  bool    `json:"important,omitempty"`
	AtMostOnce bool    `json:"once,omitempty"`
}

// LoadConfig describes an open-loop load: calls start on schedule whether or not
// earlier calls have ended.
type LoadConfig struct {
	EntryAddresses     []netip.AddrPort
	Streams            []Stream
	Duration           time.Duration
	Seed               uint64
	AttemptTimeout     time.Duration
	MaxRetries         int           // attempts after the first
	MeanRetryDelay     time.Duration // delays are uniform from 0.5 to 1.5 times this
	SendIdempotencyKey bool          // at-most-once calls carry an Idempotency-Key and may be retried
	RootPrefix         string        // of root IDs, to tell loads apart
	OnCallEnd          func(Sample)  // called when a call ends, concurrently
}

// Sample is the result of one call of a stream, over all its attempts.
type Sample struct {
	Stream           int
	RootID           string
	Start            time.Duration // scheduled start, relative to the start of the load
	Latency          time.Duration // from the scheduled start to the end of the last attempt
	Status           int           // of the last attempt, 0 if it got no complete response
	Reason           string        // Celery-Reason of the last attempt
	Executed         string        // Celery-Ran of the last attempt
	Attempts         int
	ResponseMismatch bool // a response with status 200 does not name this call's root ID
	NotExecuted      int  // attempts whose response had Celery-Ran: no
}

// OK reports whether the last attempt got a complete 200 response to this call.
func (s *Sample) OK() bool { return s.Status == http.StatusOK && !s.ResponseMismatch }

// LoadGenerator sends the calls of a load and collects their samples.
type LoadGenerator struct {
	LoadConfig
	client  *http.Client
	mu      sync.Mutex
	samples []Sample
}

// NewLoadGenerator returns a generator whose Run sends the load.
func NewLoadGenerator(c LoadConfig) *LoadGenerator {
	return &LoadGenerator{LoadConfig: c, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true},
	}}
}

// Run sends the load until its duration has passed or ctx ends, waits for the calls
// that have started, and returns their samples.
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

// runStream starts the calls of a stream with exponentially distributed intervals.
func (l *LoadGenerator) runStream(ctx context.Context, stream int, start time.Time, group *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(l.Seed, uint64(stream)))
	rate := l.Streams[stream].Rate
	if rate <= 0 {
		return
	}
	offset := time.Duration(0)
	for n := 0; ; n++ {
		offset += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if offset >= l.Duration {
			return
		}
		t := time.NewTimer(time.Until(start.Add(offset)))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		entry := l.EntryAddresses[rng.IntN(len(l.EntryAddresses))]
		root := fmt.Sprintf("%s%d-%d", l.RootPrefix, stream, n)
		seed := rng.Uint64()
		group.Go(func() { l.runCall(ctx, stream, root, offset, start, entry, seed) })
	}
}

// runCall makes a call, retries it up to MaxRetries times at random entry nodes, and
// records the sample.
func (l *LoadGenerator) runCall(ctx context.Context, stream int, root string, offset time.Duration, start time.Time, entry netip.AddrPort, seed uint64) {
	s := Sample{Stream: stream, RootID: root, Start: offset}
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
	s.Latency = time.Since(start.Add(offset))
	if l.OnCallEnd != nil {
		l.OnCallEnd(s)
	}
	l.mu.Lock()
	l.samples = append(l.samples, s)
	l.mu.Unlock()
}

// shouldRetry reports whether a failed attempt may be retried: not after a 4xx other
// than 429, and for at-most-once calls only with an idempotency key or if the call is
// known not to have run.
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

// traceparent returns a Traceparent header whose trace ID is the same for all attempts
// of a call, as it is with callers that trace.
func traceparent(s *Sample) string {
	id := sha256.Sum256([]byte(s.RootID))
	return fmt.Sprintf("00-%x-%016x-00", id[:16], s.Attempts)
}
