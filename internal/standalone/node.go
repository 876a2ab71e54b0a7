package standalone

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/member"
	"celeryshelf/internal/agent"
	"celeryshelf/internal/relay"
	"celeryshelf/internal/settings"
	"celeryshelf/internal/trace"
	"celeryshelf/io/caller"
	"celeryshelf/io/etcd"
	"celeryshelf/io/http1"
	"celeryshelf/io/node"
	"celeryshelf/io/operator"
	"celeryshelf/io/store"
)

// drainTimeout is how long a draining node waits for calls in progress. Calls may
// last as long as the longest route timeout.
const drainTimeout = 10 * time.Minute

// Node is a node with an HTTP server for operators.
type Node struct {
	*agent.Agent
	store *etcd.Client
}

// New builds a node. Its control transport works until the context is done.
func New(ctx context.Context, s settings.Settings, log *slog.Logger) (*Node, error) {
	provider, err := trace.New(ctx, s.Trace, s.Name)
	if err != nil {
		return nil, err
	}
	n := &Node{store: etcd.NewClient(etcd.Config{Addresses: s.Store.Addresses})}
	n.Agent = agent.New(ctx, agent.Config{
		Self: member.Member{
			Name: s.Name, Service: s.Service, Domain: s.Domain, Region: s.Region,
			NodeAddr: s.Listen.Node, ControlAddr: s.Listen.Control,
		},
		SeedAddresses: s.SeedAddresses, Logger: log, Tracer: provider,
		Store: n.store, Layout: store.NewLayout(s.Store.Prefix), LeaseTTL: s.Store.LeaseTTL.Duration,
		NewDialect:    func(r *caller.Router) relay.Dialect { return caller.Dialect{Keys: r} },
		NodeTransport: node.NewHTTP2Transport(),
		TargetClient:  http1.Config{Address: s.Target},
		ListenerGrace: s.DrainGrace.Duration, DrainTimeout: drainTimeout,
	})
	op, err := operator.NewServer(n)
	if err != nil {
		return nil, fmt.Errorf("build operator server: %w", err)
	}
	n.AddListener(agent.Listener{
		Name: "callers", Address: s.Listen.Caller, StopFirst: true,
		Server: caller.NewServer(n.CallHandler(core.FromCaller)),
	})
	n.AddListener(agent.Listener{
		Name: "target", Address: s.Listen.Outgoing,
		Server: caller.NewServer(n.CallHandler(core.FromTarget)),
	})
	n.AddListener(agent.Listener{Name: "operators", Address: s.Listen.Operator, Server: op})
	return n, nil
}
