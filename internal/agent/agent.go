package agent

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"celeryshelf/core"
	"celeryshelf/core/member"
	"celeryshelf/core/retry"
	"celeryshelf/core/warmup"
	"celeryshelf/internal/budget"
	"celeryshelf/internal/clock"
	"celeryshelf/internal/control"
	"celeryshelf/internal/relay"
	"celeryshelf/io/caller"
	"celeryshelf/io/http1"
	"celeryshelf/io/node"
	"celeryshelf/io/store"
	"celeryshelf/io/tcp"
)

const (
	// Interval at which a draining node checks whether calls are in progress.
	drainPollInterval = 50 * time.Millisecond
	// Time limit for closing the tracer, and for reading the state for a gauge or a
	// readiness probe.
	closeTimeout = 2 * time.Second
	// minNodeIdle is longer than a request takes between nodes. A call that is refused as the
	// node has too many connections is placed elsewhere; one on a connection that is closed
	// meanwhile may have run.
	minNodeIdle = 100 * time.Millisecond
	// Time limit for revoking the lease at the end of a drain. If that fails, the lease
	// expires by itself.
	leaseRevokeTimeout = 500 * time.Millisecond
)

// Tracer starts and exports trace spans.
type Tracer interface {
	relay.Tracer
	Close(ctx context.Context) error
}

// Listener is a server of the node and the address on which it listens.
type Listener struct {
	Name    string // for error messages
	Address netip.AddrPort
	Server  *http.Server
	// StopFirst makes a draining node stop this server, and finish its calls, before it
	// waits for the calls of the others.
	StopFirst bool
	// Share limits the open connections and the memory of their request heads.
	Share   budget.Share
	Refusal string        // see tcp.ListenerConfig
	MinIdle time.Duration // see tcp.ListenerConfig
	// RequestLimits applies the limits of the manifest to the headers of requests.
	RequestLimits bool
}

// Config holds the dependencies and parameters of an Agent.
type Config struct {
	Self member.Member
	// Addresses to listen on for calls and control messages of other nodes, those in Self if zero.
	NodeListenAddr, ControlListenAddr netip.AddrPort
	SeedAddresses                     []netip.AddrPort   // see core.Settings
	TargetHeartbeats                  bool               // see core.Settings
	MaxStaleness                      time.Duration      // see core.Settings
	PlannedAdmission                  bool               // see core.Settings
	ElectWatchers                     bool               // see core.Settings
	RetryLimit                        retry.ServiceLimit // see core.Settings
	Evacuation                        time.Duration      // see core.Settings
	PlaceByCompletion                 bool               // see core.Settings
	WarmupBound                       warmup.Bound       // see core.Settings
	Logger                            *slog.Logger
	Store                             store.Client
	Layout                            store.Layout
	LeaseTTL, MemberLeaseTTL          time.Duration // see store.Config
	NewDialect                        func(*caller.Router) relay.Dialect
	Tracer                            Tracer
	TargetClient                      http1.Config
	NodeTransport                     http.RoundTripper // see relay.Config; must support trailers unless PlannedAdmission is set
	ReadAheadBytes                    int64             // see relay.Config
	// Shares limits the connections and the memory of their data; the zero value sets no limit.
	Shares budget.Shares
	// HTTP1Only says that other nodes use no HTTP/2.
	HTTP1Only bool
	// The durations below count from the start of draining.
	ListenerGrace time.Duration // until the servers with StopFirst stop
	CallerGrace   time.Duration // until calls from callers are refused, 0 if they never are
	TargetGrace   time.Duration // until the target gets no more calls from other nodes
	DrainTimeout  time.Duration // until calls in progress are aborted
}

// Agent is a running node.
type Agent struct {
	Config
	observer       *observer
	router         *caller.Router
	connLog        *connLog
	loop           *control.Loop
	control        *node.ControlTransport
	session        *store.Session
	relay          *relay.Relay
	listeners      []Listener
	open           map[string]*tcp.Listener // by name of the listener
	sent           *metrics.Counter
	draining       atomic.Bool
	drainRequested chan struct{}
	drainOnce      sync.Once
}

// New builds a node. Its control transport works until the context is done.
func New(ctx context.Context, c Config) *Agent {
	a := &Agent{
		Config: c, drainRequested: make(chan struct{}), open: map[string]*tcp.Listener{},
		sent: metrics.GetOrCreateCounter("celeryshelf_control_sent_bytes_total"),
	}
	c.Self.Incarnation, c.Self.Revision = uint64(time.Now().UnixNano()), 1
	router := &caller.Router{}
	boot := clock.BootTime{}
	a.observer = newObserver(c.Logger, router)
	a.router, a.connLog = router, newConnLog(c.Logger)
	a.control = node.NewControlTransport(ctx, node.ControlTransportConfig{Name: c.Self.Name, BytesSent: a, MaxConns: c.Shares.ControlDialled, MaxReadBytes: c.Shares.ReadMessageBytes, MaxSentBytes: c.Shares.SentMessageBytes})
	a.session = store.NewSession(store.Config{
		Client: c.Store, Layout: c.Layout, NodeName: c.Self.Name, Address: c.Self.ControlAddr, LeaseTTL: c.LeaseTTL, MemberLeaseTTL: c.MemberLeaseTTL, ElectWatchers: c.ElectWatchers, Logger: a.observer, Clock: boot,
	})
	decoder := &manifestDecoder{}
	a.loop = control.New(control.Config{
		State: core.New(core.Settings{
			Self: c.Self, SeedAddresses: c.SeedAddresses, RandomSeed: rand.Uint64(), TargetHeartbeats: c.TargetHeartbeats, MaxStaleness: c.MaxStaleness, PlannedAdmission: c.PlannedAdmission, ElectWatchers: c.ElectWatchers, RetryLimit: c.RetryLimit, Evacuation: c.Evacuation, PlaceByCompletion: c.PlaceByCompletion, WarmupBound: c.WarmupBound,
		}),
		MessageSender: a.control, StoreExecutor: a.session, Observer: a.observer, Clock: boot, ManifestDecoder: decoder,
	})
	decoder.loop = a.loop
	a.control.SetSink(a.loop)
	a.session.SetSink(a.loop)
	a.relay = relay.New(relay.Config{
		Observer: a.observer, Loop: a.loop, Router: router, Dialect: c.NewDialect(router), Tracer: c.Tracer, Clock: boot,
		TargetTransport: http1.NewClient(c.TargetClient), NodeTransport: c.NodeTransport, OutcomeTrailers: !c.PlannedAdmission, ReadAheadBytes: c.ReadAheadBytes, Buffers: a.newBuffers(),
	})
	a.registerGauges(c.Self.Service)
	server := node.NewServer(a.relay.NodeHandler(node.RefusalWriter{}))
	if c.HTTP1Only {
		server.Protocols = HTTP1()
	}
	a.AddListener(Listener{Name: "nodes", Address: cmp.Or(c.NodeListenAddr, c.Self.NodeAddr), Server: server, Share: c.Shares.Nodes, Refusal: node.ConnectionRefusal(), MinIdle: minNodeIdle})
	return a
}

// AddListener adds a server. It must be called before Run.
func (a *Agent) AddListener(s Listener) { a.listeners = append(a.listeners, s) }

// CallHandler returns the handler for calls that enter the fleet at this node. While the
// node drains, its responses close their connections.
func (a *Agent) CallHandler(origin core.Origin) http.Handler {
	serve := a.relay.CallHandler(origin)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if a.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		serve.ServeHTTP(w, req)
	})
}

// Inspect runs a function on the state of the node in the control goroutine. It returns
// false if the control loop has stopped or the context is done first.
func (a *Agent) Inspect(ctx context.Context, f func(s *core.State)) bool {
	return a.loop.Inspect(ctx, f)
}

// Post queues an event for the control loop.
func (a *Agent) Post(e core.Event) { a.loop.Post(e) }

// SentBytes returns the number of bytes in the control messages sent.
func (a *Agent) SentBytes() uint64 { return a.sent.Get() }

// AddSentBytes counts bytes of sent control messages.
func (a *Agent) AddSentBytes(n int) { a.sent.Add(n) }

// Run serves until the context is done, Drain is called, or a server fails. In the first
// two cases it drains the node before it returns.
func (a *Agent) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, len(a.listeners)+1)
	var group sync.WaitGroup
	listener, err := a.serve(ctx, &group, failed)
	if err != nil {
		a.close()
		return err
	}
	group.Go(func() { a.loop.Run(work) })
	group.Go(func() { a.session.Run(work) })
	group.Go(func() {
		if err := a.control.Serve(listener); err != nil {
			failed <- err
		}
	})
	a.announce(work)
	a.Logger.Info("started", "name", a.Self.Name, "service", a.Self.Service, "domain", a.Self.Domain)
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = a.drain()
	case <-a.drainRequested:
		err = a.drain()
	}
	a.close()
	stop()
	_ = listener.Close()
	group.Wait()
	a.Logger.Info("stopped", "name", a.Self.Name)
	return err
}

// serve starts all servers and returns the listener for control messages.
func (a *Agent) serve(ctx context.Context, group *sync.WaitGroup, failed chan<- error) (net.Listener, error) {
	for _, s := range a.listeners {
		l, err := tcp.Listen(ctx, a.listenerConfig(s))
		if err != nil {
			return nil, fmt.Errorf("listen for %s: %w", s.Name, err)
		}
		a.open[s.Name] = l
		s.Server.ConnState, s.Server.ConnContext = l.ConnState, tcp.WithConn
	}
	for _, s := range a.listeners {
		l := a.open[s.Name]
		group.Go(func() {
			if err := s.Server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				failed <- fmt.Errorf("serve %s: %w", s.Name, err)
			}
		})
	}
	l, err := tcp.Listen(ctx, tcp.ListenerConfig{
		Address: cmp.Or(a.ControlListenAddr, a.Self.ControlAddr), MaxConns: a.Shares.Control.Conns, Messages: true, Observer: a.connLog.listener("control"),
	})
	if err != nil {
		return nil, fmt.Errorf("listen for control: %w", err)
	}
	return l, nil
}

// listenerConfig returns the configuration of the listener for a server.
func (a *Agent) listenerConfig(s Listener) tcp.ListenerConfig {
	c := tcp.ListenerConfig{
		Address: s.Address, MaxConns: s.Share.Conns, MaxRefused: s.Share.Refused, MaxHeadBytes: s.Share.HeadBytes,
		Refusal: s.Refusal, MinIdle: s.MinIdle, Observer: a.connLog.listener(s.Name),
	}
	if s.RequestLimits {
		c.Limits = func() tcp.Limits {
			limits := a.router.Limits()
			return tcp.Limits{HeaderBytes: limits.MaxHeaderBytes, HeaderTimeout: limits.HeaderTimeout.Duration, IdleTimeout: limits.IdleTimeout.Duration}
		}
	}
	return c
}

// announce submits the member record of the node, which the session writes to the store
// once it holds a lease.
func (a *Agent) announce(ctx context.Context) {
	a.loop.Inspect(ctx, func(s *core.State) { a.session.Submit(&core.AnnounceMember{Member: s.Status().Self}) })
}

// drain announces to peers that the node drains, serves callers until ListenerGrace has
// passed, and waits for the calls in progress and until their responses have been read.
func (a *Agent) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), a.DrainTimeout)
	defer cancel()
	a.Logger.Info("leaving", "grace", a.ListenerGrace, "limit", a.DrainTimeout)
	a.draining.Store(true)
	a.loop.Post(&core.DrainRequested{CallerGrace: a.CallerGrace, TargetGrace: a.TargetGrace, Limit: a.DrainTimeout})
	time.Sleep(a.ListenerGrace)
	err := a.stopListeners(ctx)
	revokeCtx, cancelRevoke := context.WithTimeout(context.Background(), leaseRevokeTimeout)
	defer cancelRevoke()
	if err := a.session.RevokeLeases(revokeCtx); err != nil {
		a.observer.Warn(err)
	}
	a.flush(ctx)
	return err
}

// flush waits until the senders have read the responses to all calls, or the context is done.
func (a *Agent) flush(ctx context.Context) {
	for name, l := range a.open {
		if err := l.Flush(ctx); err != nil {
			a.observer.Warn(fmt.Errorf("flush %s: %w", name, err))
		}
	}
}

// stopListeners stops the servers with StopFirst, waits for the calls in progress, and
// stops the other servers.
func (a *Agent) stopListeners(ctx context.Context) error {
	if err := a.shutdown(ctx, true); err != nil {
		return err
	}
	if err := a.waitForCalls(ctx); err != nil {
		return err
	}
	return a.shutdown(ctx, false)
}

// shutdown stops the servers whose StopFirst has the given value, after the calls that
// they serve.
func (a *Agent) shutdown(ctx context.Context, stopFirst bool) error {
	var group sync.WaitGroup
	failures := make([]error, len(a.listeners))
	for i, s := range a.listeners {
		if s.StopFirst == stopFirst {
			group.Go(func() { failures[i] = a.stopServer(ctx, s) })
		}
	}
	group.Wait()
	return errors.Join(failures...)
}

// stopServer stops one server after the calls that it serves.
func (a *Agent) stopServer(ctx context.Context, s Listener) error {
	if err := a.open[s.Name].Drain(ctx); err != nil {
		return fmt.Errorf("stop server for %s: %w", s.Name, err)
	}
	if err := s.Server.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop server for %s: %w", s.Name, err)
	}
	return nil
}

// waitForCalls waits until no call is in progress.
func (a *Agent) waitForCalls(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		open := 0
		if !a.loop.Inspect(ctx, func(s *core.State) { open = s.Status().Calls }) || open == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d calls still in progress: %w", open, ctx.Err())
		}
	}
}

func (a *Agent) close() {
	for _, s := range a.listeners {
		_ = s.Server.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := a.Tracer.Close(ctx); err != nil {
		a.Logger.Warn("trace", "error", err)
	}
}

// Drain makes Run drain the node and return.
func (a *Agent) Drain() { a.drainOnce.Do(func() { close(a.drainRequested) }) }

// Ready reports whether the node accepts calls: it has a manifest that is not stale and is
// not draining.
func (a *Agent) Ready() bool {
	if a.draining.Load() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	ready := false
	a.loop.Inspect(ctx, func(s *core.State) { ready = s.Ready(clock.BootTime{}.Now()) })
	return ready
}

// Heartbeat applies a heartbeat of the local target. It returns after the heartbeat has
// taken effect, and after the store holds that the target leaves if the heartbeat says so. It
// returns false if the node is stopping or the context is done first.
func (a *Agent) Heartbeat(ctx context.Context, h core.Heartbeat) bool {
	return a.loop.PostAndAwaitAck(ctx, func(id core.AckID) core.Event {
		return &core.HeartbeatReceived{Ack: id, Heartbeat: h}
	})
}

// Deregister removes the registration of the local target. It returns after the removal has
// taken effect and the store holds it, or with false if the node is stopping or the context is
// done first.
func (a *Agent) Deregister(ctx context.Context, id string) bool {
	return a.loop.PostAndAwaitAck(ctx, func(ack core.AckID) core.Event {
		return &core.TargetDeregistered{Ack: ack, InstanceID: id, At: time.Now()}
	})
}
