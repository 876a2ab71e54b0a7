package relay_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/manifest"
	"celeryshelf/core/member"
	"celeryshelf/internal/clock"
	"celeryshelf/internal/control"
	"celeryshelf/internal/relay"
	"celeryshelf/io/caller"
	"celeryshelf/io/http1"
	"celeryshelf/io/node"
	"celeryshelf/io/tcp"
)

// testNode is a node without peers' messages and without a store: a control loop, a relay and
// the servers for callers and for other nodes.
type testNode struct {
	member member.Member
	loop   *control.Loop
	router *caller.Router
	caller netip.AddrPort // address for callers
}

// Send implements control.MessageSender.
func (*testNode) Send(core.Envelope) {}

// Submit implements control.StoreExecutor.
func (*testNode) Submit(core.StoreRequest) {}

// Verdict implements control.Observer.
func (*testNode) Verdict(*core.Verdict, *core.CallArrived) {}

// Notice implements control.Observer.
func (*testNode) Notice(core.Notice) {}

// ManifestActivated implements control.Observer.
func (n *testNode) ManifestActivated(m *manifest.Compiled) { n.router.SetManifest(m) }

// CallEnded implements relay.Observer.
func (*testNode) CallEnded(relay.CallSummary) {}

// AttemptFailed implements relay.Observer.
func (*testNode) AttemptFailed(relay.AttemptFailure) {}

// testLimits are the limits on requests in the test manifest.
var testLimits = manifest.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20}

// testManifest returns a manifest with one public route to the service back.
func testManifest() manifest.Versioned {
	timeout := manifest.Duration{Duration: 10 * time.Second}
	return manifest.Versioned{Version: 1, Manifest: manifest.Manifest{
		Services: []manifest.Service{{Name: "front"}, {Name: "back"}},
		Routes:   []manifest.Route{{Name: "order", Path: "/order", Service: "back", Public: true, AtMostOnce: true, Timeout: timeout}},
		Limits:   testLimits,
	}}
}

// compiled returns a compiled manifest, which must be valid.
func compiled(v manifest.Versioned) *manifest.Compiled {
	c, err := manifest.Compile(v)
	if err != nil {
		panic(err)
	}
	return c
}

func listen(t *testing.T) *tcp.Listener {
	l, err := tcp.Listen(t.Context(), tcp.ListenerConfig{Address: netip.MustParseAddrPort("127.0.0.1:0")})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func addressOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// serve serves on a listener until the test ends.
func serve(t *testing.T, l *tcp.Listener, s *http.Server) {
	s.ConnState, s.ConnContext = l.ConnState, tcp.WithConn
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
}

// startNode starts a node of a service whose target has the given address. A target with slots
// sends a heartbeat.
func startNode(t *testing.T, service string, target netip.AddrPort, slots int) *testNode {
	callers, nodes := listen(t), listen(t)
	n := &testNode{router: &caller.Router{}, caller: addressOf(callers)}
	n.member = member.Member{
		Name: "node-" + service, Service: service, Domain: "d",
		NodeAddr: addressOf(nodes), ControlAddr: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1, Revision: 1,
	}
	n.loop = control.New(control.Config{
		Clock: clock.BootTime{}, State: core.New(core.Settings{Self: n.member, PlannedAdmission: true, TargetHeartbeats: slots > 0}),
		MessageSender: n, StoreExecutor: n, Observer: n,
	})
	r := relay.New(relay.Config{
		Observer: n, Loop: n.loop, Router: n.router, Dialect: caller.Dialect{Keys: n.router}, Tracer: relay.NopTracer{}, Clock: clock.BootTime{},
		TargetTransport: http1.NewClient(http1.Config{Address: target}), NodeTransport: node.NewHTTP1Transport(http1.NewConnLimit(64)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go n.loop.Run(ctx)
	n.loop.Post(&core.StoreReachability{Reachable: true})
	n.loop.Post(&core.StoreSnapshot{}) // a starting node uses its target once it has read the store
	if slots > 0 {
		n.loop.Post(&core.HeartbeatReceived{Heartbeat: core.Heartbeat{InstanceID: "t", StartUnixMilli: 1, Sequence: 1, Slots: slots}})
	}
	serve(t, callers, caller.NewServer(r.CallHandler(core.FromCallerOrTarget)))
	serve(t, nodes, node.NewServer(r.NodeHandler(node.RefusalWriter{})))
	return n
}

// startNodes starts a node at which calls enter, and the node of the target that runs them.
func startNodes(t *testing.T, target netip.AddrPort, slots int) (front, back *testNode) {
	front, back = startNode(t, "front", target, 0), startNode(t, "back", target, slots)
	front.loop.Post(&core.MemberStored{Member: back.member})
	back.loop.Post(&core.MemberStored{Member: front.member})
	for _, n := range []*testNode{front, back} {
		n.loop.Post(&core.ManifestStored{Manifest: compiled(testManifest())})
	}
	awaitManifest(t, front, back)
	return front, back
}

// awaitManifest waits until the nodes use a manifest.
func awaitManifest(t *testing.T, nodes ...*testNode) {
	for _, n := range nodes {
		if !n.loop.Inspect(t.Context(), func(*core.State) {}) {
			t.Fatal("control loop has stopped")
		}
	}
}

// startTarget starts a target with the given handler.
func startTarget(t *testing.T, h http.HandlerFunc) netip.AddrPort {
	l := listen(t)
	serve(t, l, &http.Server{Handler: h, ReadHeaderTimeout: time.Minute})
	return addressOf(l)
}

// dial connects to an address until the test ends.
func dial(t *testing.T, at netip.AddrPort) net.Conn { return dialWith(t, net.Dialer{}, at) }

// dialWith connects to an address with the options of a dialer until the test ends.
func dialWith(t *testing.T, d net.Dialer, at netip.AddrPort) net.Conn {
	t.Helper()
	c, err := d.DialContext(t.Context(), "tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c
}
