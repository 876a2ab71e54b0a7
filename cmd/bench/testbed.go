package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/internal/command"
	"celeryshelf/internal/fleet"
	"celeryshelf/internal/loopback"
	"celeryshelf/internal/standin"
	"celeryshelf/io/etcd"
	"celeryshelf/io/operator"
	"celeryshelf/io/store"
)

// policy names the gateway that runs in front of the targets.
type policy string

const (
	policyCelery policy = "celery"
	policyOff    policy = "off"    // forwards every call, retries three times at each hop
	policyStatic policy = "static" // fixed concurrency limit, first come first served
)

const (
	baselineRetries   = 3
	staticRetries     = 1
	staticQueueFactor = 2 // queue length as a multiple of the concurrency limit
	readyTimeout      = 30 * time.Second
	readyPollInterval = 100 * time.Millisecond
	stopTimeout       = 10 * time.Second
	// bucketFillTime lets the token buckets of new shard owners, which start empty, fill up.
	bucketFillTime = 3 * time.Second
)

// testbedConfig configures a testbed. keepDir, if set, receives the settings and logs
// of the processes; otherwise they go to a temporary directory.
type testbedConfig struct {
	deployment         fleet.Deployment
	manifest           manifest.Manifest
	policy             policy
	leaseTTL           time.Duration
	drainGrace         time.Duration
	keepDir            string
	ignoreCancellation bool // targets continue working after their caller has disconnected
}

// testbed runs a deployment as separate processes on loopback.
type testbed struct {
	testbedConfig
	network         *loopback.Network // nil until the addresses have been assigned
	dir             string
	binaries        fleet.Binaries
	plan            fleet.Plan
	store           *fleet.Process
	targets         map[string]*fleet.Process
	nodes           map[string]*fleet.Process
	client          *etcd.Client
	manifestVersion uint64
}

// newTestbed starts every process of a deployment and waits until the nodes are ready.
func newTestbed(ctx context.Context, c testbedConfig) (*testbed, error) {
	l := &testbed{testbedConfig: c, targets: map[string]*fleet.Process{}, nodes: map[string]*fleet.Process{}}
	if err := l.prepare(ctx); err != nil {
		return nil, err
	}
	if err := l.startAll(ctx); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

func (l *testbed) prepare(ctx context.Context) error {
	dir := l.keepDir
	var err error
	if dir == "" {
		dir, err = os.MkdirTemp("", "celeryshelf-bench-")
	} else {
		err = os.MkdirAll(dir, 0o755)
	}
	if err != nil {
		return fmt.Errorf("create directory for settings and logs: %w", err)
	}
	l.dir = dir
	l.binaries, err = fleet.Build(ctx, dir)
	if err != nil {
		return err
	}
	if l.network, err = loopback.Reserve(); err != nil {
		return err
	}
	if l.leaseTTL == 0 {
		l.leaseTTL = time.Minute
	}
	if l.drainGrace == 0 {
		l.drainGrace = 2 * time.Second
	}
	l.plan = fleet.NewPlan(l.deployment, fleet.Options{Network: l.network, LeaseTTL: l.leaseTTL, DrainGrace: l.drainGrace})
	l.client = etcd.NewClient(etcd.Config{Addresses: []netip.AddrPort{l.plan.Store}})
	return nil
}

func (l *testbed) startAll(ctx context.Context) error {
	var err error
	if l.store, err = fleet.StartStore(l.binaries, l.dir, l.plan.Store); err != nil {
		return err
	}
	for _, u := range l.plan.VMs {
		if err := l.startTarget(u); err != nil {
			return err
		}
		if err := l.startNode(u); err != nil {
			return err
		}
	}
	if l.policy != policyCelery {
		return l.waitReachable(ctx)
	}
	if err := l.waitUntil(ctx, func() bool { return l.apply(ctx, l.manifest) == nil }); err != nil {
		return fmt.Errorf("apply manifest: %w", err)
	}
	if err := l.waitUntil(ctx, func() bool { return l.converged(ctx) }); err != nil {
		return err
	}
	time.Sleep(bucketFillTime)
	return nil
}

func (l *testbed) startTarget(u fleet.VM) error {
	u.Target.IgnoreCancellation = l.ignoreCancellation
	p, err := fleet.StartTarget(l.binaries, l.dir, u)
	l.targets[u.Settings.Name] = p
	return err
}

func (l *testbed) startNode(u fleet.VM) error {
	var p *fleet.Process
	var err error
	if l.policy == policyCelery {
		p, err = fleet.StartNode(l.binaries, l.dir, u)
	} else {
		p, err = fleet.StartBaseline(l.binaries, l.dir, u, l.baselineConfig(u))
	}
	l.nodes[u.Settings.Name] = p
	return err
}

func (l *testbed) baselineConfig(u fleet.VM) standin.BaselineConfig {
	c := standin.BaselineConfig{
		Caller: u.Settings.Listen.Caller, Outgoing: u.Settings.Listen.Outgoing, Node: u.Settings.Listen.Node,
		Target: u.Settings.Target, Retries: baselineRetries, Timeout: callerTimeout,
	}
	if l.policy == policyStatic {
		c.ConcurrencyLimit, c.QueueLimit, c.Retries = u.Target.Slots, staticQueueFactor*u.Target.Slots, staticRetries
	}
	for _, r := range l.manifest.Routes {
		c.Routes = append(c.Routes, standin.BaselineRoute{Method: r.Method, Path: r.Path, Service: r.Service})
	}
	for _, s := range l.deployment.Services {
		b := standin.BaselineService{Name: s.Name}
		for _, v := range l.plan.VMs {
			if v.Settings.Service == s.Name {
				b.Nodes = append(b.Nodes, v.Settings.Listen.Node)
			}
		}
		c.Services = append(c.Services, b)
	}
	return c
}

// waitUntil polls until ready returns true. It fails after readyTimeout or when the context
// ends.
func (l *testbed) waitUntil(ctx context.Context, ready func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for !ready() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("testbed not ready within %v or before cancellation", readyTimeout)
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

// waitReachable waits until every node answers HTTP requests.
func (l *testbed) waitReachable(ctx context.Context) error {
	return l.waitUntil(ctx, func() bool {
		for _, at := range l.plan.CallerAddrs() {
			res, err := http.Get("http://" + at.String() + "/")
			if err != nil {
				return false
			}
			_ = res.Body.Close()
		}
		return true
	})
}

// converged reports whether every node has the current manifest, knows all its peers
// and sees an owner for every shard.
func (l *testbed) converged(ctx context.Context) bool {
	for _, u := range l.plan.VMs {
		s, err := command.FetchStatus(ctx, u.Settings.Listen.Operator)
		if err != nil || s.Version != l.manifestVersion || len(s.Members) < len(l.plan.VMs)-1 || len(s.Shards) < l.totalShards() {
			return false
		}
	}
	return true
}

func (l *testbed) totalShards() int {
	n := 0
	for _, w := range l.manifest.Workspaces {
		n += shardCount(w)
	}
	return n
}

// apply stores a manifest as the next version.
func (l *testbed) apply(ctx context.Context, m manifest.Manifest) error {
	key := store.NewLayout(l.plan.VMs[0].Settings.Store.Prefix).ManifestKey
	version, err := command.Apply(ctx, l.client, key, m, l.manifestVersion)
	if err == nil {
		l.manifestVersion, l.manifest = version, m
	}
	return err
}

// vm returns the VM with that name, or the zero VM.
func (l *testbed) vm(name string) fleet.VM {
	for _, u := range l.plan.VMs {
		if u.Settings.Name == name {
			return u
		}
	}
	return fleet.VM{}
}

// status fetches the status of a node.
func (l *testbed) status(ctx context.Context, name string) (operator.Status, error) {
	return command.FetchStatus(ctx, l.vm(name).Settings.Listen.Operator)
}

// setStoreFaults sets the fault injection of the store.
func (l *testbed) setStoreFaults(f standin.StoreFaults) error {
	return postJSON(l.plan.Store, "/standin/faults", f)
}

// setTargetFaults sets the fault injection of one target.
func (l *testbed) setTargetFaults(name string, f standin.TargetFaults) error {
	return postJSON(l.vm(name).Settings.Target, "/standin/faults", f)
}

// setServiceFaults sets the fault injection of every target of a service, or of all
// targets if the service is empty.
func (l *testbed) setServiceFaults(service string, f standin.TargetFaults) error {
	for _, u := range l.plan.VMs {
		if service != "" && u.Settings.Service != service {
			continue
		}
		if err := l.setTargetFaults(u.Settings.Name, f); err != nil {
			return err
		}
	}
	return nil
}

func postJSON(at netip.AddrPort, path string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode body of %s: %w", path, err)
	}
	res, err := http.Post("http://"+at.String()+path, "application/json", strings.NewReader(string(text)))
	if err != nil {
		return fmt.Errorf("post %s: %w", path, err)
	}
	return res.Body.Close()
}

// runs returns the executions that all targets recorded.
func (l *testbed) runs() ([]standin.RunStats, error) {
	var out []standin.RunStats
	for _, u := range l.plan.VMs {
		runs, err := l.targetRuns(u)
		if err != nil {
			return nil, err
		}
		out = append(out, runs...)
	}
	return out, nil
}

func (l *testbed) targetRuns(u fleet.VM) ([]standin.RunStats, error) {
	res, err := http.Get("http://" + u.Settings.Target.String() + "/standin/runs")
	if err != nil {
		return nil, fmt.Errorf("fetch target runs: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	var runs []standin.RunStats
	if err := json.NewDecoder(res.Body).Decode(&runs); err != nil {
		return nil, fmt.Errorf("decode target runs: %w", err)
	}
	return runs, nil
}

// close kills every process of the testbed and removes its temporary directory.
func (l *testbed) close() {
	var all []*fleet.Process
	for _, group := range []map[string]*fleet.Process{l.nodes, l.targets} {
		for _, p := range group {
			all = append(all, p)
		}
	}
	all = append(all, l.store)
	for _, p := range all {
		if p != nil {
			_ = p.Resume()
			_ = p.Kill()
			_ = p.Wait(stopTimeout)
		}
	}
	if l.network != nil {
		_ = l.network.Release()
	}
	if l.keepDir == "" {
		_ = os.RemoveAll(l.dir)
	}
}
