package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/internal/fleet"
	"celeryshelf/internal/settings"
	"celeryshelf/platform/standin"
)

// Ports of a unit; what a link listens on is what others use.
const (
	portCaller = 8080 + iota
	portNode
	portNodeLink
	portControl
	portControlLink
	portHeartbeat
	portReady
	portMetrics
	portTarget
	portTargetLink
	portStoreLink
)

const (
	portStore   = 2379
	slots       = 40
	work        = 15 * time.Millisecond
	beat        = 300 * time.Millisecond
	readyWithin = 15 * time.Second
	maxMemory   = 128 // MiB a node
)

// The workspaces of a run: one inside its rate, one far above it.
const (
	steady = "steady"
	greedy = "greedy"
)

type workspace struct {
	name  string
	rate  float64 // calls a second
	burst int
}

var workspaces = []workspace{{steady, 400, 400}, {greedy, 20, 20}}

var services = []string{"maps", "nursery", "stock"}

// unit is a node with its target and the links between it and others.
type unit struct {
	index   int
	host    netip.Addr
	service string
	links   map[string]*Link

	mu      sync.Mutex
	node    *fleet.Process
	process int // number of the node's process
	stopped bool
	target  *standin.Endpoint
	born    int // number of the target's incarnation
	stop    context.CancelFunc
}

func (u *unit) at(port int) netip.AddrPort { return netip.AddrPortFrom(u.host, uint16(port)) }

// Fleet is the nodes of a run and what surrounds them.
type Fleet struct {
	dir, program string
	history      *History
	store        *standin.Store
	metadata     netip.AddrPort // where the store listens
	units        []*unit
	version      int
	keys         map[string]string // in force, by workspace
	group        sync.WaitGroup
}

// networks is how many runs have loopback addresses of their own.
const networks = 100 * 250

// NewFleet lays out n units on loopback addresses that the seed sets apart.
func NewFleet(dir, program string, n int, seed uint64, h *History) *Fleet {
	run := seed % networks
	host := func(last int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, byte(100 + run%100), byte(run / 100), byte(last)})
	}
	f := &Fleet{metadata: netip.AddrPortFrom(host(1), portStore), dir: dir, program: program, history: h, store: standin.NewStore(), keys: map[string]string{}}
	for i := range n {
		u := &unit{
			index: i, host: host(10 + i),
			service: services[i%len(services)], links: map[string]*Link{},
		}
		for name, ports := range map[string][2]int{
			"node": {portNodeLink, portNode}, "control": {portControlLink, portControl}, "target": {portTargetLink, portTarget},
		} {
			u.links[name] = NewLink(u.at(ports[0]), u.at(ports[1]))
		}
		u.links["store"] = NewLink(u.at(portStoreLink), f.metadata)
		f.units = append(f.units, u)
	}
	return f
}

// Start starts everything and waits until every node is ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.serve(ctx, f.metadata, f.store); err != nil {
		return err
	}
	go f.store.ExpireLeases(ctx.Done())
	f.keys[steady], f.keys[greedy] = "key-steady-0", "key-greedy-0"
	f.Configure()
	for _, u := range f.units {
		for name, l := range u.links {
			f.group.Go(func() {
				if err := l.Run(ctx); err != nil {
					f.history.note(func() {
						f.history.ProcessErrors = append(f.history.ProcessErrors, fmt.Sprintf("link %s: %v", name, err))
					})
				}
			})
		}
		if err := f.startTarget(ctx, u); err != nil {
			return err
		}
		if err := f.startNode(u); err != nil {
			return err
		}
	}
	return f.ready(ctx)
}

// serve listens until the context ends.
func (f *Fleet) serve(ctx context.Context, at netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	f.group.Go(func() { _ = s.Serve(l) }) // ends with the context
	return nil
}

func (f *Fleet) startTarget(ctx context.Context, u *unit) error {
	ctx, cancel := context.WithCancel(ctx)
	u.mu.Lock()
	u.born++
	e := standin.NewEndpoint(standin.EndpointConfig{
		ID: fmt.Sprintf("t%d-%d", u.index, u.born), Service: u.service, Listen: u.at(portTarget),
		NodeAddress: u.at(portCaller), HeartbeatAddress: u.at(portHeartbeat), AnnouncedAddress: u.at(portTargetLink),
		Slots: slots, WorkDuration: manifest.Duration{Duration: work}, HeartbeatInterval: manifest.Duration{Duration: beat},
		ChildCalls: map[string][]standin.ChildCall{"/page/": {{Host: hostStock, Path: "/stock/x"}}},
		OnRun: func(id, workspace string) {
			f.history.note(func() {
				f.history.Executions = append(f.history.Executions, Execution{
					ID: id, Service: u.service, Target: fmt.Sprintf("t%d-%d", u.index, u.born), Workspace: workspace, At: time.Now(),
				})
			})
		},
	})
	u.target, u.stop = e, cancel
	u.mu.Unlock()
	if err := f.serve(ctx, u.at(portTarget), e); err != nil {
		cancel()
		return err
	}
	f.group.Go(func() { e.SendHeartbeats(ctx) })
	return nil
}

func (f *Fleet) startNode(u *unit) error {
	s := settings.Sidecar{
		Name: fmt.Sprintf("n%d", u.index), Service: u.service, Domain: fmt.Sprintf("d%d", u.index%3), Region: "r",
		Listen: settings.SidecarListen{
			Caller: u.at(portCaller), Node: u.at(portNode), Control: u.at(portControl),
			Heartbeat: u.at(portHeartbeat), Ready: u.at(portReady), Metrics: u.at(portMetrics),
		},
		Advertise:         settings.SidecarAdvertise{Node: u.at(portNodeLink), Control: u.at(portControlLink)},
		Target:            u.at(portTargetLink),
		Store:             settings.SidecarStore{Address: u.at(portStoreLink), Prefix: "celeryshelf/", LeaseTTL: manifest.Duration{Duration: 4 * time.Second}},
		HeartbeatInterval: manifest.Duration{Duration: beat}, MaxRevocationDelay: manifest.Duration{Duration: revokeBound},
		DrainTimeout: manifest.Duration{Duration: drainBound}, StopTimeout: manifest.Duration{Duration: stopBound}, MemoryMiB: maxMemory,
		Retry: settings.SidecarRetry{Ratio: retryRatio, Window: manifest.Duration{Duration: retryWindow}, Slack: retrySlack},
		Log:   settings.Log{Level: "info"},
	}
	p, err := fleet.StartSidecar(f.program, f.dir, s)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.node, u.stopped = p, false
	u.process++
	return nil
}

// ready waits until every node takes calls.
func (f *Fleet) ready(ctx context.Context) error {
	for end := time.Now().Add(readyWithin); ; time.Sleep(100 * time.Millisecond) {
		waiting := 0
		for _, u := range f.units {
			if !standin.NodeReady(u.at(portReady)) {
				waiting++
			}
		}
		switch {
		case waiting == 0:
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Now().After(end):
			return fmt.Errorf("%d nodes are not ready after %s", waiting, readyWithin)
		}
	}
}

// Stop ends every process that the run has started.
func (f *Fleet) Stop() {
	for _, u := range f.units {
		u.mu.Lock()
		if u.node != nil {
			_ = u.node.Resume()
			_ = u.node.Kill()
			_ = u.node.Wait(stopBound)
		}
		u.mu.Unlock()
	}
	f.group.Wait()
}

// StoreCalls returns how many calls the store has been asked.
func (f *Fleet) StoreCalls() int { return f.store.CallCount() }

// Processes returns the nodes' processes.
func (f *Fleet) Processes() []*fleet.Process {
	var out []*fleet.Process
	for _, u := range f.units {
		u.mu.Lock()
		out = append(out, u.node)
		u.mu.Unlock()
	}
	return out
}

// RunClients has clients send requests until the context ends and waits for their answers.
func (f *Fleet) RunClients(ctx context.Context, clients int, seed uint64) {
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() { newClient(f, n, seed).run(ctx) })
	}
	group.Wait()
}

// SteadyRequests returns how many requests of the workspace inside its rate were sent, and how
// many of them were answered with success.
func (f *Fleet) SteadyRequests() (sent, served int) {
	f.history.note(func() {
		for _, r := range f.history.Requests {
			if r.Workspace != steady {
				continue
			}
			sent++
			if r.Status == http.StatusOK {
				served++
			}
		}
	})
	return sent, served
}

// Configure writes the next version, with a route of its own, as the operators do.
func (f *Fleet) Configure() {
	f.version++
	c := standin.Config{Version: f.version, Services: services, Routes: []standin.Route{
		{Name: "page", Host: hostPage, PathPrefix: "/page/", Service: "maps", Timeout: 1200 * time.Millisecond, TargetLatency: 600 * time.Millisecond, Priority: 1, Attempts: 2},
		{Name: "order", Host: hostOrder, PathPrefix: "/order/", Service: "nursery", Unsafe: true, Timeout: 1500 * time.Millisecond, TargetLatency: 800 * time.Millisecond, Attempts: 2},
		{Name: "stock", Host: hostStock, PathPrefix: "/stock/", Service: "stock", Public: true, Timeout: 800 * time.Millisecond, TargetLatency: 300 * time.Millisecond, Priority: 2, Attempts: 2},
	}}
	for v := 1; v <= f.version; v++ {
		c.Routes = append(c.Routes, standin.Route{
			Name: "mark-" + strconv.Itoa(v), Host: hostMark, PathPrefix: markPath(v), Service: "stock", Public: true,
			Timeout: 800 * time.Millisecond, TargetLatency: 300 * time.Millisecond, Priority: 3, Attempts: 2,
		})
	}
	for _, w := range workspaces {
		c.Tenants = append(c.Tenants, standin.Tenant{Name: w.name, Key: f.keys[w.name], Rate: w.rate, Burst: w.burst})
	}
	if _, err := f.store.PutConfig(c); err != nil {
		f.history.note(func() { f.history.ProcessErrors = append(f.history.ProcessErrors, err.Error()) })
		return
	}
	f.history.note(func() {
		f.history.ConfigVersions = append(f.history.ConfigVersions, ConfigVersion{Number: f.version, At: time.Now()})
	})
}

// Hosts of the routes.
const (
	hostPage  = "maps.example"
	hostOrder = "nursery.example"
	hostStock = "stock.example"
	hostMark  = "mark.example"
)

// markPath is the path of a version's own route.
func markPath(version int) string { return fmt.Sprintf("/v%d/", version) }

// RotateKey gives a workspace another key in place of its own.
func (f *Fleet) RotateKey(name string) {
	old := f.keys[name]
	f.history.note(func() { f.keys[name] = fmt.Sprintf("key-%s-%d", name, f.version) })
	f.Configure()
	f.history.note(func() {
		f.history.KeyRevocations = append(f.history.KeyRevocations, KeyRevocation{Key: old, Workspace: name, At: time.Now()})
	})
}

// key returns a workspace's key in force.
func (f *Fleet) key(name string) (key string, version int) {
	f.history.note(func() { key, version = f.keys[name], f.version })
	return key, version
}
