package sidecar

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"celeryshelf/core"
	"celeryshelf/core/member"
	"celeryshelf/core/retry"
	"celeryshelf/core/warmup"
	"celeryshelf/internal/agent"
	"celeryshelf/internal/budget"
	"celeryshelf/internal/logging"
	"celeryshelf/internal/relay"
	"celeryshelf/internal/settings"
	"celeryshelf/io/caller"
	"celeryshelf/io/http1"
	"celeryshelf/io/node"
	"celeryshelf/io/store"
	"celeryshelf/platform"
	"celeryshelf/platform/kv"
)

const (
	// memoryLimitRatio is the Go memory limit, as a fraction of the memory that the process
	// may use. The rest is for unread data in socket buffers.
	memoryLimitRatio = 0.6
	// gcPercent is below the default of 100 to keep the heap small: the platform charges for
	// peak memory, and very little for CPU time.
	gcPercent = 50
	// revokeMargin is subtracted from the time within which a revoked key must stop working.
	// It covers calls that have been accepted and still wait for their target.
	revokeMargin = 1200 * time.Millisecond
	// listenerGrace is the minimum time for which a draining node still serves: the platform
	// probes readiness twice, a second apart, before its clients use other nodes.
	listenerGrace = 2200 * time.Millisecond
	// drainTimeoutRatio is the fraction of the time until the kill after which calls in
	// progress are aborted. The platform's guarantee to callers ends there.
	drainTimeoutRatio = 5.0 / 6
	// callerGraceRatio is the fraction of the time until the kill after which calls are
	// refused. It is below one half because the platform does not count a request as lost if
	// it was sent in the first half of that time and its target still works on it in the last
	// sixth. It counts requests that were sent later.
	callerGraceRatio  = 0.45
	readHeaderTimeout = 5 * time.Second
	// maxLocalHeaderBytes limits the heads of heartbeats, probes and requests for metrics.
	maxLocalHeaderBytes = 16 << 10
	// memberLeaseFactor is the ratio of the member record's time to live to that of the shard
	// claims. Peers find out by themselves that a node does not answer, so that its record may
	// outlive it for longer; each renewal is billed.
	memberLeaseFactor = 1.5
)

// untraced is a tracer without spans.
type untraced struct{ relay.NopTracer }

// Close implements agent.Tracer.
func (untraced) Close(context.Context) error { return nil }

// Run runs a node until the context is done and the node has drained. It reloads the
// settings file while it runs.
func Run(ctx context.Context, s settings.Sidecar, file string) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryMiB) * (1 << 20)))
	lines := logging.NewWriter(os.Stdout)
	written := make(chan struct{})
	writing, stopWriting := context.WithCancel(context.Background())
	go func() { defer close(written); lines.Run(writing) }()
	defer func() { stopWriting(); <-written }()
	log, err := logging.New(lines, s.Log.Level)
	if err != nil {
		return err
	}
	slog.SetDefault(log) // net/http logs with the standard logger
	work, stop := context.WithCancel(context.Background())
	defer stop()
	nodeAddr, controlAddr := s.AdvertisedAddresses()
	dialect := platform.Dialect{Service: s.Service}
	shares := budget.NewShares(s.MemoryMiB, s.Descriptors)
	outgoing := http1.NewConnLimit(shares.Outgoing)
	a := agent.New(work, agent.Config{
		Self: member.Member{
			Name: s.Name, Service: s.Service, Domain: s.Domain, Region: s.Region,
			NodeAddr: nodeAddr, ControlAddr: controlAddr,
		},
		NodeListenAddr: s.Listen.Node, ControlListenAddr: s.Listen.Control,
		TargetHeartbeats: true, PlannedAdmission: true, ElectWatchers: true, MaxStaleness: maxStaleness(s), RetryLimit: retryLimit(s), Evacuation: s.Evacuation.Duration, PlaceByCompletion: s.Placement == settings.PlaceByCompletion, WarmupBound: warmupBound(s), Logger: log, Tracer: untraced{},
		Store:    kv.NewClient(kv.Config{Address: s.Store.Address}),
		Layout:   storeLayout(s),
		LeaseTTL: s.Store.LeaseTTL.Duration, MemberLeaseTTL: time.Duration(memberLeaseFactor * float64(s.Store.LeaseTTL.Duration)),
		NewDialect:    func(*caller.Router) relay.Dialect { return dialect },
		NodeTransport: node.NewHTTP1Transport(outgoing), Shares: shares, HTTP1Only: true, ReadAheadBytes: int64(shares.ReadAheadBytes),
		TargetClient:  http1.Config{Address: s.Target, Verifier: dialect, Conns: outgoing, MaxHeadBytes: s.MaxHeadBytes},
		ListenerGrace: listenerGrace, TargetGrace: listenerGrace, CallerGrace: time.Duration(callerGraceRatio * float64(s.StopTimeout.Duration)), DrainTimeout: time.Duration(drainTimeoutRatio * float64(s.StopTimeout.Duration)),
	})
	callers := caller.NewServer(a.CallHandler(core.FromCallerOrTarget))
	callers.Protocols = agent.HTTP1()
	a.AddListener(agent.Listener{Name: "callers", Address: s.Listen.Caller, Server: callers, Share: shares.Callers, Refusal: platform.ConnectionRefusal, RequestLimits: true})
	registry := platform.HeartbeatServer{Registrar: a, Service: s.Service, Address: s.Target, Log: log}
	a.AddListener(agent.Listener{Name: "heartbeats", Address: s.Listen.Heartbeat, Server: server(registry.Handler()), Share: shares.Local})
	a.AddListener(agent.Listener{Name: "prober", Address: s.Listen.Ready, Server: server(platform.ReadinessHandler(a)), Share: shares.Local})
	a.AddListener(agent.Listener{Name: "metrics", Address: s.Listen.Metrics, Server: server(metricsHandler()), Share: shares.Local})
	r := reloader{file: file, inForce: s, node: runningNode{a}, log: log}
	go r.run(work)
	return a.Run(ctx)
}

// storeLayout returns the keys that the node reads in the store. Those of evacuated domains are
// among them if the settings say by when an evacuation must take effect.
func storeLayout(s settings.Sidecar) store.Layout {
	l := store.Layout{Prefix: s.Store.Prefix, ManifestKey: platform.ConfigKey, Decoder: platform.ConfigDecoder{}}
	if s.Evacuation.Duration > 0 {
		l.Evacuations, l.OperatorPrefix = platform.EvacuationDecoder{}, platform.OperatorPrefix
	}
	return l
}

// maxStaleness returns how long API keys are accepted after the manifest was last confirmed.
func maxStaleness(s settings.Sidecar) time.Duration {
	return s.MaxRevocationDelay.Duration - revokeMargin
}

// retryLimit returns the limit on the retries that reach each service, summed over the fleet.
func retryLimit(s settings.Sidecar) retry.ServiceLimit {
	return retry.ServiceLimit{Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Window: s.Retry.Window.Duration}
}

// warmupBound returns the bound on the calls that a cold target receives, the zero value if it
// is not set.
func warmupBound(s settings.Sidecar) warmup.Bound {
	if s.Warmup == nil {
		return warmup.Bound{}
	}
	return warmup.Bound{Overshoot: s.Warmup.Overshoot, Slack: s.Warmup.Slack}
}

// runningNode applies changed settings to a running node.
type runningNode struct{ *agent.Agent }

// Apply applies the settings that can change while the node runs.
func (a runningNode) Apply(s settings.Sidecar) {
	a.Post(&core.SettingsChanged{MaxStaleness: maxStaleness(s), RetryLimit: retryLimit(s), WarmupBound: warmupBound(s)})
}

func server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxLocalHeaderBytes}
}

func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, false)
	})
	return mux
}
