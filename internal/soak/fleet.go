package soak

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/internal/fleet"
	"celeryshelf/internal/loopback"
	"celeryshelf/internal/settings"
	"celeryshelf/platform/standin"
)

// Ports of a VM. Other processes connect to the Link ports, where they exist, so that their
// connections pass through a link.
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
	portStore         = 2379
	targetSlots       = 40
	targetServiceTime = 15 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
	readyTimeout      = 15 * time.Second
	nodeMemoryMiB     = 128 // memory limit in a node's settings
)

// Workspaces of a run: steady stays within its quota, greedy sends far more than its quota.
const (
	steady = "steady"
	greedy = "greedy"
)

// workspace is a customer of the platform with its quota.
type workspace struct {
	name  string
	rate  float64 // requests per second
	burst int
}

var workspaces = []workspace{{steady, 400, 400}, {greedy, 20, 20}}

var services = []string{"maps", "nursery", "stock"}

// vm is one machine: a node, its target and the links between them and the others.
type vm struct {
	index   int
	host    netip.Addr
	service string
	links   map[string]*Link

	mu               sync.Mutex
	node             *fleet.Process
	processNumber    int // counts the starts of the node
	stopped          bool
	target           *standin.Endpoint
	targetGeneration int // counts the starts of the target; part of its ID
	stopTarget       context.CancelFunc
}

func (v *vm) addr(port int) netip.AddrPort { return netip.AddrPortFrom(v.host, uint16(port)) }

// Fleet runs the nodes of a run as processes, and their targets, links and store within this
// process.
type Fleet struct {
	dir, nodeBinary string
	history         *History
	store           *standin.Store
	storeAddr       netip.AddrPort // where the store listens; nodes reach it through their links
	vms             []*vm
	version         int
	keys            map[string]string // API keys in force, by workspace
	wg              sync.WaitGroup
}

// NewFleet assigns addresses of the network to n VMs.
func NewFleet(dir, nodeBinary string, n int, network *loopback.Network, h *History) *Fleet {
	host := func(last int) netip.Addr { return network.Addr(0, byte(last)) }
	f := &Fleet{storeAddr: netip.AddrPortFrom(host(1), portStore), dir: dir, nodeBinary: nodeBinary, history: h, store: standin.NewStore(), keys: map[string]string{}}
	for i := range n {
		v := &vm{
			index: i, host: host(10 + i),
			service: services[i%len(services)], links: map[string]*Link{},
		}
		for name, ports := range map[string][2]int{
			"node": {portNodeLink, portNode}, "control": {portControlLink, portControl}, "target": {portTargetLink, portTarget},
		} {
			v.links[name] = NewLink(v.addr(ports[0]), v.addr(ports[1]))
		}
		v.links["store"] = NewLink(v.addr(portStoreLink), f.storeAddr)
		f.vms = append(f.vms, v)
	}
	return f
}

// Start starts the store, links, targets and nodes and waits until every node is ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.serve(ctx, f.storeAddr, f.store); err != nil {
		return err
	}
	go f.store.ExpireLeases(ctx.Done())
	f.keys[steady], f.keys[greedy] = "key-steady-0", "key-greedy-0"
	f.Configure()
	for _, v := range f.vms {
		for name, l := range v.links {
			f.wg.Go(func() {
				if err := l.Run(ctx); err != nil {
					f.history.locked(func() {
						f.history.ProcessErrors = append(f.history.ProcessErrors, fmt.Sprintf("link %s: %v", name, err))
					})
				}
			})
		}
		if err := f.startTarget(ctx, v); err != nil {
			return err
		}
		if err := f.startNode(v); err != nil {
			return err
		}
	}
	return f.waitReady(ctx)
}

// serve serves h at an address until the context ends.
func (f *Fleet) serve(ctx context.Context, at netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	f.wg.Go(func() { _ = s.Serve(l) }) // returns when the context ends
	return nil
}

func (f *Fleet) startTarget(ctx context.Context, v *vm) error {
	ctx, cancel := context.WithCancel(ctx)
	v.mu.Lock()
	v.targetGeneration++
	e := standin.NewEndpoint(standin.EndpointConfig{
		ID: fmt.Sprintf("t%d-%d", v.index, v.targetGeneration), Service: v.service, Listen: v.addr(portTarget),
		NodeAddress: v.addr(portCaller), HeartbeatAddress: v.addr(portHeartbeat), AnnouncedAddress: v.addr(portTargetLink),
		Slots: targetSlots, WorkDuration: manifest.Duration{Duration: targetServiceTime}, HeartbeatInterval: manifest.Duration{Duration: heartbeatInterval},
		ChildCalls: map[string][]standin.ChildCall{"/page/": {{Host: hostStock, Path: "/stock/x"}}},
		OnRun: func(id, workspace string) {
			f.history.locked(func() {
				f.history.Executions = append(f.history.Executions, Execution{
					ID: id, Service: v.service, Target: fmt.Sprintf("t%d-%d", v.index, v.targetGeneration), Workspace: workspace, At: time.Now(),
				})
			})
		},
	})
	v.target, v.stopTarget = e, cancel
	v.mu.Unlock()
	if err := f.serve(ctx, v.addr(portTarget), e); err != nil {
		cancel()
		return err
	}
	f.wg.Go(func() { e.SendHeartbeats(ctx) })
	return nil
}

func (f *Fleet) startNode(v *vm) error {
	s := settings.Sidecar{
		Name: fmt.Sprintf("n%d", v.index), Service: v.service, Domain: fmt.Sprintf("d%d", v.index%3), Region: "r",
		Listen: settings.SidecarListen{
			Caller: v.addr(portCaller), Node: v.addr(portNode), Control: v.addr(portControl),
			Heartbeat: v.addr(portHeartbeat), Ready: v.addr(portReady), Metrics: v.addr(portMetrics),
		},
		Advertise:         settings.SidecarAdvertise{Node: v.addr(portNodeLink), Control: v.addr(portControlLink)},
		Target:            v.addr(portTargetLink),
		Store:             settings.SidecarStore{Address: v.addr(portStoreLink), Prefix: "celeryshelf/", LeaseTTL: manifest.Duration{Duration: 4 * time.Second}},
		HeartbeatInterval: manifest.Duration{Duration: heartbeatInterval}, MaxRevocationDelay: manifest.Duration{Duration: revokeBound},
		DrainTimeout: manifest.Duration{Duration: drainBound}, StopTimeout: manifest.Duration{Duration: stopBound}, MemoryMiB: nodeMemoryMiB,
		Retry: settings.SidecarRetry{Ratio: retryRatio, Window: manifest.Duration{Duration: retryWindow}, Slack: retrySlack},
		Log:   settings.Log{Level: "info"},
	}
	p, err := fleet.StartSidecar(f.nodeBinary, f.dir, s)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.node, v.stopped = p, false
	v.processNumber++
	return nil
}

// waitReady waits until every node reports that it is ready for requests.
func (f *Fleet) waitReady(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(100 * time.Millisecond) {
		waiting := 0
		for _, v := range f.vms {
			if !standin.NodeReady(v.addr(portReady)) {
				waiting++
			}
		}
		switch {
		case waiting == 0:
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Now().After(end):
			return fmt.Errorf("%d nodes not ready after %s", waiting, readyTimeout)
		}
	}
}

// Stop kills every node process and waits for the goroutines of the run, which end when the
// context of Start ends.
func (f *Fleet) Stop() {
	for _, v := range f.vms {
		v.mu.Lock()
		if v.node != nil {
			_ = v.node.Resume()
			_ = v.node.Kill()
			_ = v.node.Wait(stopBound)
		}
		v.mu.Unlock()
	}
	f.wg.Wait()
}

// StoreCalls returns the number of requests that the store has received.
func (f *Fleet) StoreCalls() int { return f.store.CallCount() }

// Processes returns the current process of every node.
func (f *Fleet) Processes() []*fleet.Process {
	var out []*fleet.Process
	for _, v := range f.vms {
		v.mu.Lock()
		out = append(out, v.node)
		v.mu.Unlock()
	}
	return out
}

// RunClients runs concurrent clients until the context ends and their requests in flight are
// done.
func (f *Fleet) RunClients(ctx context.Context, clients int, seed uint64) {
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() { newClient(f, n, seed).run(ctx) })
	}
	group.Wait()
}

// SteadyRequests returns how many requests the workspace within its quota sent, and how many
// of them succeeded.
func (f *Fleet) SteadyRequests() (sent, served int) {
	f.history.locked(func() {
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

// Configure writes the next configuration version to the store as an operator does. Each
// version adds a route of its own, by which clients find out whether it is in force.
func (f *Fleet) Configure() {
	var version int
	var keys map[string]string
	f.history.locked(func() {
		f.version++
		version, keys = f.version, maps.Clone(f.keys)
	})
	c := standin.Config{Version: version, Services: services, Routes: []standin.Route{
		{Name: "page", Host: hostPage, PathPrefix: "/page/", Service: "maps", Timeout: 1200 * time.Millisecond, TargetLatency: 600 * time.Millisecond, Priority: 1, Attempts: 2},
		{Name: "order", Host: hostOrder, PathPrefix: "/order/", Service: "nursery", Unsafe: true, Timeout: 1500 * time.Millisecond, TargetLatency: 800 * time.Millisecond, Attempts: 2},
		{Name: "stock", Host: hostStock, PathPrefix: "/stock/", Service: "stock", Public: true, Timeout: 800 * time.Millisecond, TargetLatency: 300 * time.Millisecond, Priority: 2, Attempts: 2},
	}}
	for v := 1; v <= version; v++ {
		c.Routes = append(c.Routes, standin.Route{
			Name: "mark-" + strconv.Itoa(v), Host: hostProbe, PathPrefix: probePath(v), Service: "stock", Public: true,
			Timeout: 800 * time.Millisecond, TargetLatency: 300 * time.Millisecond, Priority: 3, Attempts: 2,
		})
	}
	for _, w := range workspaces {
		c.Tenants = append(c.Tenants, standin.Tenant{Name: w.name, Key: keys[w.name], Rate: w.rate, Burst: w.burst})
	}
	if _, err := f.store.PutConfig(c); err != nil {
		f.history.locked(func() { f.history.ProcessErrors = append(f.history.ProcessErrors, err.Error()) })
		return
	}
	f.history.locked(func() {
		f.history.ConfigVersions = append(f.history.ConfigVersions, ConfigVersion{Number: version, At: time.Now()})
	})
}

// Hosts of the routes.
const (
	hostPage  = "maps.example"
	hostOrder = "nursery.example"
	hostStock = "stock.example"
	hostProbe = "mark.example"
)

// probePath returns the path prefix of the route that a configuration version adds.
func probePath(version int) string { return fmt.Sprintf("/v%d/", version) }

// RotateKey replaces the API key of a workspace and records the revocation of the old key.
func (f *Fleet) RotateKey(name string) {
	var old string
	f.history.locked(func() {
		old = f.keys[name]
		f.keys[name] = fmt.Sprintf("key-%s-%d", name, f.version)
	})
	f.Configure()
	f.history.locked(func() {
		f.history.KeyRevocations = append(f.history.KeyRevocations, KeyRevocation{Key: old, Workspace: name, At: time.Now()})
	})
}

// key returns the API key of a workspace and the latest configuration version.
func (f *Fleet) key(name string) (key string, version int) {
	f.history.locked(func() { key, version = f.keys[name], f.version })
	return key, version
}
