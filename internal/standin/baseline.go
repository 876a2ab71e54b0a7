package standin

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// BaselineRoute maps a method and path to a service.
type BaselineRoute struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Service string `json:"service"`
}

// BaselineService lists the node addresses of a service.
type BaselineService struct {
	Name  string           `json:"name"`
	Nodes []netip.AddrPort `json:"nodes"`
}

// BaselineConfig configures a Baseline.
type BaselineConfig struct {
	Caller           netip.AddrPort    `json:"caller"`
	Outgoing         netip.AddrPort    `json:"outgoing"`
	Node             netip.AddrPort    `json:"node"`
	Target           netip.AddrPort    `json:"target"`
	Services         []BaselineService `json:"services"`
	Routes           []BaselineRoute   `json:"routes"`
	Retries          int               `json:"retries"` // at each hop
	ConcurrencyLimit int               `json:"limit"`   // concurrent calls at the target, 0 for no limit
	QueueLimit       int               `json:"queue"`   // calls that may wait for the limit; more are rejected
	Timeout          time.Duration     `json:"timeout"`
}

// Baseline is a forwarding node whose only overload control is a static concurrency
// limit. The benchmarks compare the system with it.
type Baseline struct {
	BaselineConfig
	nodesByRoute    map[string][]netip.AddrPort
	slots           chan struct{}
	admitted        atomic.Int64
	nodeSequence    atomic.Uint64
	nodeTransport   *http.Transport
	targetTransport *http.Transport
}

// NewBaseline returns a baseline node for c.
func NewBaseline(c BaselineConfig) *Baseline {
	b := &Baseline{
		BaselineConfig: c, nodesByRoute: map[string][]netip.AddrPort{},
		slots:           make(chan struct{}, max(1, c.ConcurrencyLimit)),
		nodeTransport:   &http.Transport{MaxIdleConnsPerHost: 4096, Protocols: cleartextHTTP2()},
		targetTransport: &http.Transport{MaxIdleConnsPerHost: 4096},
	}
	for _, r := range c.Routes {
		for _, s := range c.Services {
			if s.Name == r.Service {
				b.nodesByRoute[r.Method+" "+r.Path] = s.Nodes
			}
		}
	}
	return b
}

func cleartextHTTP2() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Serve serves the caller, outgoing and node listeners until ctx ends or one fails.
func (b *Baseline) Serve(ctx context.Context) error {
	protocols := cleartextHTTP2()
	protocols.SetHTTP1(true)
	serveErr := make(chan error, 3)
	for at, h := range map[netip.AddrPort]http.HandlerFunc{
		b.Caller: b.forward, b.Outgoing: b.forward, b.Node: b.runAtTarget,
	} {
		l, err := net.Listen("tcp", at.String())
		if err != nil {
			return err
		}
		s := &http.Server{Handler: h, Protocols: protocols, HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 100000}}
		context.AfterFunc(ctx, func() { _ = s.Close() })
		go func() { serveErr <- s.Serve(l) }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-serveErr:
		return err
	}
}

// forward sends a call to a node of its service, chosen round-robin. It retries up to
// Retries times after a transport error or a 5xx response.
func (b *Baseline) forward(w http.ResponseWriter, r *http.Request) {
	nodes := b.nodesByRoute[r.Method+" "+r.URL.Path]
	if len(nodes) == 0 {
		http.NotFound(w, r)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), b.Timeout)
	defer cancel()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for try := 0; ; try++ {
		at := nodes[int(b.nodeSequence.Add(1))%len(nodes)]
		res, err := b.roundTrip(ctx, b.nodeTransport, at, r, body)
		last := try >= b.Retries || ctx.Err() != nil
		if err == nil && (res.StatusCode < http.StatusInternalServerError || last) {
			copyResponse(w, res)
			return
		}
		if err == nil {
			_ = res.Body.Close()
		}
		if last {
			http.Error(w, "failed", http.StatusBadGateway)
			return
		}
	}
}

// runAtTarget forwards a call to the local target, waiting while the concurrency limit
// is reached. It responds with 503 if the queue is full.
func (b *Baseline) runAtTarget(w http.ResponseWriter, r *http.Request) {
	if b.ConcurrencyLimit > 0 {
		if b.admitted.Add(1) > int64(b.QueueLimit+b.ConcurrencyLimit) {
			b.admitted.Add(-1)
			http.Error(w, "full", http.StatusServiceUnavailable)
			return
		}
		defer b.admitted.Add(-1)
		select {
		case b.slots <- struct{}{}:
			defer func() { <-b.slots }()
		case <-r.Context().Done():
			return
		}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	res, err := b.roundTrip(r.Context(), b.targetTransport, b.Target, r, body) //nolint:bodyclose // copyResponse closes it
	if err != nil {
		http.Error(w, "failed", http.StatusBadGateway)
		return
	}
	copyResponse(w, res)
}

func (b *Baseline) roundTrip(ctx context.Context, t *http.Transport, at netip.AddrPort, r *http.Request, body []byte) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+at.String()+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	out.Header = r.Header.Clone()
	out.Header.Del("Authorization")
	return t.RoundTrip(out)
}

func copyResponse(w http.ResponseWriter, res *http.Response) {
	defer func() { _ = res.Body.Close() }()
	for name, values := range res.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(res.StatusCode)
	_, _ = io.Copy(w, res.Body)
}
