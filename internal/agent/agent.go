package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"celeryshelf/core"
	"celeryshelf/core/member"
	"celeryshelf/internal/control"
	"celeryshelf/internal/relay"
	"celeryshelf/internal/settings"
	"celeryshelf/internal/trace"
	"celeryshelf/io/caller"
	"celeryshelf/io/etcd"
	"celeryshelf/io/node"
	"celeryshelf/io/operator"
	"celeryshelf/io/target"
)

const (
	// settlePoll is how often a draining node looks whether calls still run.
	settlePoll   = 50 * time.Millisecond
	settleMax    = 10 * time.Minute
	closeTimeout = 2 * time.Second
)

// Agent is one node.
type Agent struct {
	settings settings.Settings
	log      zerolog.Logger
	observer *observer
	loop     *control.Loop
	control  *node.Control
	store    *etcd.Client
	session  *etcd.Session
	relay    *relay.Relay
	provider *trace.Provider
	sent     *metrics.Counter
	draining chan struct{}
	once     sync.Once
	servers  servers
}

// servers are a node's HTTP sides.
type servers struct {
	caller, outgoing, node, operator *http.Server
}

// New puts a node together. Its control side works until the context ends.
func New(ctx context.Context, s settings.Settings, log zerolog.Logger) (*Agent, error) {
	provider, err := trace.New(ctx, s.Trace, s.Name)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings: s, log: log, provider: provider,
		draining: make(chan struct{}),
		sent:     metrics.GetOrCreateCounter("celeryshelf_control_sent_bytes_total"),
	}
	router := &caller.Router{}
	a.observer = newObserver(log, router)
	a.control = node.NewControl(ctx, node.ControlConfig{Name: s.Name, Meter: a})
	a.store = etcd.NewClient(etcd.Config{Addresses: s.Store.Addresses})
	a.session = etcd.NewSession(etcd.SessionConfig{
		Client: a.store, Layout: etcd.Layout{Prefix: s.Store.Prefix},
		Name: s.Name, TTL: s.Store.Lease.Duration, Warner: a.observer,
	})
	a.loop = control.New(control.Config{
		State:     core.New(core.Settings{Self: announcement(s), Seeds: s.Peers, Seed: rand.Uint64()}),
		Messenger: a.control, Registrar: a.session, Observer: a.observer,
	})
	a.control.Attach(a.loop)
	a.session.Attach(a.loop)
	a.relay = relay.New(relay.Config{
		Loop: a.loop, Router: router, Tracer: provider.Tracer("celeryshelf"),
		Target: s.Target, Local: target.NewTransport(), Nodes: node.NewTransport(),
	})
	return a, a.build()
}

func announcement(s settings.Settings) member.Member {
	return member.Member{
		Name: s.Name, Service: s.Service, Domain: s.Domain, Region: s.Region,
		Node: s.Listen.Node, Control: s.Listen.Control,
		Incarnation: uint64(time.Now().UnixNano()), Revision: 1,
	}
}

func (a *Agent) build() error {
	a.servers.caller = caller.NewServer(a.relay.Caller(caller.Refuser{}))
	a.servers.outgoing = caller.NewServer(a.relay.Outgoing(caller.Refuser{}))
	a.servers.node = node.NewServer(a.relay.Node(node.Refuser{}))
	op, err := operator.NewServer(a)
	if err != nil {
		return fmt.Errorf("build operator side: %w", err)
	}
	a.servers.operator = op
	return nil
}

// Sent counts control bytes.
func (a *Agent) Sent(n int) { a.sent.Add(n) }

// Run serves until the context ends or an operator drains the node, then finishes
// what runs and returns.
func (a *Agent) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 8)
	var group sync.WaitGroup
	serve := func(name string, s *http.Server, at netip.AddrPort) error {
		l, err := net.Listen("tcp", at.String())
		if err != nil {
			return fmt.Errorf("listen for %s: %w", name, err)
		}
		group.Go(func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("serve %s: %w", name, err)
			}
		})
		return nil
	}
	if err := a.listen(serve); err != nil {
		return err
	}
	l, err := net.Listen("tcp", a.settings.Listen.Control.String())
	if err != nil {
		return fmt.Errorf("listen for control: %w", err)
	}
	group.Go(func() { a.loop.Run(work) })
	group.Go(func() { a.session.Run(work) })
	group.Go(func() {
		if err := a.control.Serve(l); err != nil {
			failed <- err
		}
	})
	a.announce(work)
	a.log.Info().Str("name", a.settings.Name).Str("service", a.settings.Service).Msg("started")
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = a.leave()
	case <-a.draining:
		err = a.leave()
	}
	a.close()
	stop()
	_ = l.Close()
	group.Wait()
	a.log.Info().Msg("stopped")
	return err
}

func (a *Agent) listen(serve func(string, *http.Server, netip.AddrPort) error) error {
	l := a.settings.Listen
	return errors.Join(
		serve("callers", a.servers.caller, l.Caller),
		serve("target", a.servers.outgoing, l.Outgoing),
		serve("nodes", a.servers.node, l.Node),
		serve("operators", a.servers.operator, l.Operator),
	)
}

// announce has the node written to the store as soon as there is a lease.
func (a *Agent) announce(ctx context.Context) {
	a.loop.Inspect(ctx, func(s *core.State) { a.session.Submit(&core.Announce{Member: s.View().Self}) })
}

// leave drains the node: peers hear of it first, callers are served until the
// grace has passed, and what runs is finished.
func (a *Agent) leave() error {
	a.loop.Post(&core.Drain{})
	time.Sleep(a.settings.Grace.Duration)
	ctx, cancel := context.WithTimeout(context.Background(), settleMax)
	defer cancel()
	if err := a.servers.caller.Shutdown(ctx); err != nil {
		return fmt.Errorf("close callers' side: %w", err)
	}
	if err := a.settle(ctx); err != nil {
		return err
	}
	if err := a.servers.node.Shutdown(ctx); err != nil {
		return fmt.Errorf("close nodes' side: %w", err)
	}
	if err := a.servers.outgoing.Shutdown(ctx); err != nil {
		return fmt.Errorf("close target's side: %w", err)
	}
	bye, cancelBye := context.WithTimeout(ctx, closeTimeout)
	defer cancelBye()
	if err := a.session.Leave(bye); err != nil {
		a.observer.Warn(err)
	}
	return nil
}

// settle waits until no call is in progress.
func (a *Agent) settle(ctx context.Context) error {
	ticker := time.NewTicker(settlePoll)
	defer ticker.Stop()
	for {
		open := 0
		if !a.loop.Inspect(ctx, func(s *core.State) { open = s.View().Calls }) || open == 0 {
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
	for _, s := range []*http.Server{a.servers.caller, a.servers.outgoing, a.servers.node, a.servers.operator} {
		_ = s.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := a.provider.Close(ctx); err != nil {
		a.log.Warn().Str("error", fmt.Sprintf("%q", err.Error())).Msg("trace")
	}
}

// Drain starts the node's departure.
func (a *Agent) Drain() { a.once.Do(func() { close(a.draining) }) }

// Ready reports whether a manifest is in force and the node is not leaving.
func (a *Agent) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	ready := false
	a.loop.Inspect(ctx, func(s *core.State) {
		v := s.View()
		ready = v.Version > 0 && !v.Self.Draining
	})
	return ready
}
