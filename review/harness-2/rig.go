package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig runs one case: a store, nodes and their endpoints on loopback addresses.
type rig struct {
	root    string // of the repository
	dir     string // temporary
	trouble bool   // the disruption is part of the run
	store   string // address of the store

	platform *store
	ports    map[int]bool
	began    time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

// process is a program that the rig started.
type process struct {
	*exec.Cmd
	name string
	done chan struct{} // closed when the process has ended
}

// couldNotRun ends a case whose set-up failed.
type couldNotRun struct{ error }

func abort(format string, args ...any) { panic(couldNotRun{fmt.Errorf(format, args...)}) }

// logf writes a line to the record.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.record.WriteString(line)
}

// start starts a program in the root of the repository.
func (r *rig) start(name string, env []string, program string, args ...string) *process {
	cmd := exec.Command(program, args...)
	cmd.Dir = r.root
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "LANG=C"}, env...)
	out, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		abort("create the log of %s: %w", name, err)
	}
	defer func() { _ = out.Close() }()
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		abort("start %s: %w", name, err)
	}
	p := &process{Cmd: cmd, name: name, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		r.logf("process %s ended: %s", name, cmd.ProcessState)
		close(p.done)
	}()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	return p
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stopAll kills every process that the rig has started.
func (r *rig) stopAll() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		if !p.ended() {
			_ = p.Process.Signal(syscall.SIGKILL)
		}
		<-p.done
	}
}

// Ports of a case lie below those that the kernel gives to outgoing connections.
const (
	firstPort = 15000
	portCount = 15000
)

// freeAddress returns a loopback address with a free port that it has not returned before.
func (r *rig) freeAddress() string {
	for range portCount {
		port := firstPort + rand.IntN(portCount)
		if r.ports[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		if r.ports == nil {
			r.ports = map[int]bool{}
		}
		r.ports[port] = true
		return address
	}
	abort("no port is free")
	return ""
}

// startStore starts the stand-in of the platform's store.
func (r *rig) startStore() {
	r.store = r.freeAddress()
	l, err := net.Listen("tcp", r.store)
	if err != nil {
		abort("listen for the store: %w", err)
	}
	r.platform = newStore()
	go func() { _ = http.Serve(l, r.platform.handler()) }()
}

// await waits until a condition holds.
func (r *rig) await(what string, limit time.Duration, holds func() bool) {
	for end := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			abort("%s: not ready after %s", what, limit)
		}
	}
}

// route is a row of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeout                           time.Duration
	objective                         time.Duration
	attempts                          int
	public                            bool
}

type tenant struct {
	name, key string
	rate      int
}

// configuration is what the operator writes.
type configuration struct {
	version  int
	routes   []route
	services []string
	tenants  []tenant
}

// put writes the configuration as the operator does.
func (r *rig) put(c configuration) {
	table := func(columns []string, rows [][]any) any {
		return map[string]any{"columns": columns, "rows": rows}
	}
	var routes, services, tenants [][]any
	for _, x := range c.routes {
		routes = append(routes, []any{x.name, x.host, x.prefix, x.kind, x.timeout.Milliseconds(), x.objective.Milliseconds(), 1, nil, x.attempts, x.public, x.service})
	}
	for _, s := range c.services {
		services = append(services, []any{s, "/health", 700, "h1", false})
	}
	for _, t := range c.tenants {
		tenants = append(tenants, []any{t.name, []string{t.key}, 1, t.rate, t.rate})
	}
	doc := map[string]any{
		"version":  fmt.Sprintf("r%d", c.version),
		"routes":   table([]string{"name", "host", "path-prefix", "kind", "timeout-ms", "target-latency-ms", "priority", "traffic-split", "attempts", "public", "service"}, routes),
		"services": table([]string{"name", "health-check-path", "max-connections", "protocol", "tls"}, services),
		"tenants":  table([]string{"name", "api-keys", "priority", "requests-per-s", "burst"}, tenants),
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	body, err := json.Marshal(doc)
	if err != nil {
		abort("encode the configuration: %w", err)
	}
	r.platform.put("op/config", body)
	r.logf("the operator has written r%d, acknowledged", c.version)
}

// nodeConfig describes the machine of a node.
type nodeConfig struct {
	name, service, zone string
	memoryMB            int
	oneCore             bool // the machine has one core
}

// node is a celerynode process with the addresses of its machine.
type node struct {
	*process
	rig      *rig
	config   nodeConfig
	settings string // file
	outbound string // for clients
	control  string // for heartbeats
	ready    string
	app      string // of the endpoint beside it
}

// addNode chooses the addresses of a machine, fills in the settings template and starts the node.
func (r *rig) addNode(c nodeConfig) *node {
	n := &node{rig: r, config: c, outbound: r.freeAddress(), control: r.freeAddress(), ready: r.freeAddress(), app: r.freeAddress()}
	inbound, first, last := r.freeAddress(), r.freeAddress(), r.freeAddress()
	port := func(a string) string { _, p, _ := net.SplitHostPort(a); return p }
	values := map[string]any{
		"node": c.name, "service": c.service, "zone": c.zone, "region": "mekong-south", "ip-address": "127.0.0.1",
		"listen-addresses.outbound": n.outbound, "listen-addresses.inbound": inbound, "listen-addresses.control": n.control, "listen-addresses.ready": n.ready,
		"internal-port-range.0": json.Number(port(first)), "internal-port-range.1": json.Number(port(last)),
		"application-address": n.app, "platform.address": r.store, "heartbeat-interval-ms": 1500,
		"bounds.revoke-ms": 5000, "bounds.drain-ms": 2000, "bounds.grace-s": 6,
		"limits.memory-mb": c.memoryMB, "limits.file-descriptors": 4100,
		"bounds.retry-budget-ratio": 0.2, "bounds.budget-window-s": 10, "bounds.retry-budget-slack": 48,
	}
	n.settings = filepath.Join(r.dir, c.name+".json")
	if err := os.WriteFile(n.settings, []byte(r.fillTemplate(values)), 0o600); err != nil {
		abort("write settings: %w", err)
	}
	n.launch()
	return n
}

// launch starts the node's program with the command of the deploy file.
func (n *node) launch() {
	deploy, err := os.ReadFile(filepath.Join(n.rig.root, "deploy/system.toml"))
	if err != nil {
		abort("read the deploy file: %w", err)
	}
	run := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(deploy)
	if run == nil {
		abort("the deploy file has no run command")
	}
	words := strings.Fields(string(run[1]))
	if n.config.oneCore {
		defer onLastCore()()
	}
	n.process = n.rig.start(n.config.name, []string{"CELERYSHELF_NODE_FILE=" + n.settings}, filepath.Join(n.rig.root, words[0]), words[1:]...)
}

// fillTemplate fills in the settings template of the deploy file as the platform does. Sections
// whose value is absent are left out.
func (r *rig) fillTemplate(values map[string]any) string {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy/settings.json"))
	if err != nil {
		abort("read the settings template: %w", err)
	}
	section := regexp.MustCompile(`(?s)\{\{#([a-z.-]+)\}\}(.*?)\{\{/([a-z.-]+)\}\}`)
	out := section.ReplaceAllStringFunc(string(text), func(s string) string {
		m := section.FindStringSubmatch(s)
		if _, ok := values[m[1]]; !ok {
			return ""
		}
		return m[2]
	})
	return regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`).ReplaceAllStringFunc(out, func(s string) string {
		name, asJSON := strings.CutSuffix(strings.Trim(s, "{}"), "|json")
		v, ok := values[name]
		if !ok {
			abort("the settings template asks for %s", name)
		}
		if asJSON {
			b, _ := json.Marshal(v)
			return string(b)
		}
		return fmt.Sprint(v)
	})
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}
