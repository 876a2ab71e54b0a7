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
	"celeryshelf/internal/agent"
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
	// memoryLimitRatio of what the process may use is where the collector starts to
	// work harder; the rest is for sockets' unread bytes.
	memoryLimitRatio = 0.6
	// gcPercent keeps the heap small: memory is priced at its peak and processor
	// time hardly at all.
	gcPercent = 50
	// revokeMargin is taken off the time within which a withdrawn key must stop
	// working, for calls that wait on their way to a target.
	revokeMargin = 1200 * time.Millisecond
	// listenerGrace is how long a leaving node stays at least: the platform asks twice,
	// a second apart, before its clients go elsewhere.
	listenerGrace = 2200 * time.Millisecond
	// drainTimeoutRatio of the time until the kill, calls that still run are given up: the
	// platform's promise to callers ends there.
	drainTimeoutRatio = 5.0 / 6
	// callerGraceRatio of the time until the kill, no more calls are let in: the platform
	// lets go of those sent in its first half that still run at the end.
	callerGraceRatio = 0.45
	readTimeout      = 5 * time.Second
)

// untraced starts no spans.
type untraced struct{ relay.NopTracer }

// Close does nothing.
func (untraced) Close(context.Context) error { return nil }

// Run runs a node until the context ends and it has drained.
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
	slog.SetDefault(log) // net/http reports through the standard logger
	work, stop := context.WithCancel(context.Background())
	defer stop()
	reach, control := s.AdvertisedAddresses()
	dialect := platform.Dialect{Service: s.Service}
	a := agent.New(work, agent.Config{
		Self: member.Member{
			Name: s.Name, Service: s.Service, Domain: s.Domain, Region: s.Region,
			NodeAddr: reach, ControlAddr: control,
		},
		NodeListenAddr: s.Listen.Node, ControlListenAddr: s.Listen.Control,
		TargetHeartbeats: true, PlannedAdmission: true, ElectWatchers: true, MaxStaleness: maxStaleness(s), RetryLimit: retryLimit(s), Logger: log, Tracer: untraced{},
		Store:         kv.NewClient(kv.Config{Address: s.Store.Address}),
		Layout:        store.Layout{Prefix: s.Store.Prefix, ManifestKey: platform.ConfigKey, Decoder: platform.ConfigDecoder{}},
		LeaseTTL:      s.Store.LeaseTTL.Duration,
		NewDialect:    func(*caller.Router) relay.Dialect { return dialect },
		NodeTransport: node.NewHTTP1Transport(),
		TargetClient:  http1.Config{Address: s.Target, Verifier: dialect},
		ListenerGrace: listenerGrace, TargetGrace: listenerGrace, CallerGrace: time.Duration(callerGraceRatio * float64(s.StopTimeout.Duration)), DrainTimeout: time.Duration(drainTimeoutRatio * float64(s.StopTimeout.Duration)),
	})
	a.AddListener(agent.Listener{Name: "callers", Address: s.Listen.Caller, Server: caller.NewServer(a.CallHandler(core.FromCallerOrTarget))})
	registry := platform.HeartbeatServer{Registrar: a, Service: s.Service, Address: s.Target, Log: log}
	a.AddListener(agent.Listener{Name: "heartbeats", Address: s.Listen.Heartbeat, Server: server(registry.Handler())})
	a.AddListener(agent.Listener{Name: "prober", Address: s.Listen.Ready, Server: server(platform.ReadinessHandler(a))})
	a.AddListener(agent.Listener{Name: "metrics", Address: s.Listen.Metrics, Server: server(metricsHandler())})
	r := reloader{file: file, inForce: s, node: runningNode{a}, log: log}
	go r.run(work)
	return a.Run(ctx)
}

// maxStaleness returns how old the proof of the configuration may be for keyed calls.
func maxStaleness(s settings.Sidecar) time.Duration {
	return s.MaxRevocationDelay.Duration - revokeMargin
}

// retryLimit returns what services may get beyond the first arrival of each call.
func retryLimit(s settings.Sidecar) retry.ServiceLimit {
	return retry.ServiceLimit{Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Window: s.Retry.Window.Duration}
}

// runningNode hands changed settings to a running node.
type runningNode struct{ *agent.Agent }

// Apply puts in force what a running node can change.
func (a runningNode) Apply(s settings.Sidecar) {
	a.Post(&core.SettingsChanged{MaxStaleness: maxStaleness(s), RetryLimit: retryLimit(s)})
}

func server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readTimeout}
}

func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, false)
	})
	return mux
}
