package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

const host = "shop.example"

// Bounds of the small site that the settings of the nodes and the checks use.
const (
	drainBound   = 2000 * time.Millisecond
	contactBound = 3000 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
)

// recorder writes record.txt: a line for everything that was sent, answered or run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		unable("record: %v", err)
	}
	return &recorder{file: f, start: time.Now()}
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// world is a deployment on loopback addresses.
type world struct {
	*recorder
	store     *store
	storeAddr string
	nodes     []*node
	dir       string
	started   sync.Map // IDs of the requests that endpoints have begun to run
}

// unable ends the program with the status of a case that cannot run.
func unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case cannot run: "+format+"\n", args...)
	if current != nil {
		current.logf("the case cannot run: "+format, args...)
		current.stop()
	}
	os.Exit(2)
}

var current *world

func newWorld() *world {
	record := os.Getenv("RECORD")
	if record == "" {
		record = "record.txt"
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		unable("%v", err)
	}
	w := &world{recorder: newRecorder(record), store: newStore(), dir: dir}
	current = w
	w.storeAddr = listenHTTP(w.store)
	return w
}

func listenHTTP(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("listen: %v", err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// freeAddr returns an address of a machine on which nothing listens. Each machine has a
// loopback address of its own, so that outgoing connections do not take its ports.
func freeAddr(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		unable("listen: %v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// node is a machine: a celerynode process and the address of the endpoint beside it.
type node struct {
	w                                               *world
	name, service, zone                             string
	outbound, inbound, control, ready, app, metrics string
	internal                                        string
	storeAddr                                       string
	cmd                                             *exec.Cmd
	exited                                          chan struct{}
	starts                                          int
}

func (w *world) addNode(name, service, zone string) *node {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, len(w.nodes)+1)
	n := &node{
		w: w, name: name, service: service, zone: zone, outbound: freeAddr(ip), inbound: freeAddr(ip), control: freeAddr(ip),
		ready: freeAddr(ip), app: freeAddr(ip), metrics: freeAddr(ip), internal: freeAddr(ip), storeAddr: w.storeAddr,
	}
	w.nodes = append(w.nodes, n)
	return n
}

// settings fills in the fields of deploy/settings.json.
func (n *node) settings() []byte {
	text, _ := json.MarshalIndent(map[string]any{
		"name": n.name, "service": n.service, "domain": n.zone, "region": "region-1",
		"listen": map[string]string{
			"caller": n.outbound, "node": n.inbound, "control": n.internal, "heartbeat": n.control, "ready": n.ready, "metrics": n.metrics,
		},
		"target":    n.app,
		"store":     map[string]string{"address": n.storeAddr, "prefix": "celeryshelf/", "lease": "4s"},
		"heartbeat": "1500ms", "revoke": "5000ms", "drain": "2000ms", "limit": "6s", "memory": 284, "descriptors": 4100,
		"retry": map[string]any{"ratio": 0.2, "window": "10s", "slack": 48},
		"log":   map[string]string{"level": "info"},
	}, "", "  ")
	return text
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() {
	root := os.Getenv("ROOT")
	file := filepath.Join(n.w.dir, n.name+".json")
	if err := os.WriteFile(file, n.settings(), 0o600); err != nil {
		unable("%v", err)
	}
	n.starts++
	log, err := os.Create(filepath.Join(n.w.dir, fmt.Sprintf("%s.%d.log", n.name, n.starts)))
	if err != nil {
		unable("%v", err)
	}
	n.cmd = exec.Command(filepath.Join(root, "target/celerynode"))
	n.cmd.Dir = root
	n.cmd.Env = []string{"CELERYSHELF_NODE_FILE=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		unable("start: %v", err)
	}
	exited := make(chan struct{})
	n.exited = exited
	cmd := n.cmd
	go func() { _ = cmd.Wait(); close(exited) }()
	n.w.logf("process of %s started", n.name)
}

// limitDescriptors sets the limit on open descriptors of the node's process.
func (n *node) limitDescriptors(limit uint64) {
	value := [2]uint64{limit, limit}
	if _, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(n.cmd.Process.Pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&value)), 0, 0, 0); errno != 0 {
		unable("limit the descriptors of %s: %v", n.name, errno)
	}
}

// descriptors returns the number of open descriptors of the node's process.
func (n *node) descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	return len(list)
}

// ran reports whether an endpoint has begun to run a request.
func (w *world) ran(id string) bool {
	_, ok := w.started.Load(id)
	return ok
}

func (w *world) startNodes() {
	for _, n := range w.nodes {
		n.start()
	}
}

// settle waits until all nodes are ready and have been in touch for a while.
func (w *world) settle() {
	for _, n := range w.nodes {
		n.waitReady(10 * time.Second)
	}
	time.Sleep(contactBound + 2*time.Second)
}

func (n *node) signal(s syscall.Signal) {
	n.w.logf("%s gets %s", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// kill ends the process with SIGKILL and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

func (w *world) stop() {
	for _, n := range w.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// isReady asks the node's readiness address.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == 200
}

func (n *node) waitReady(limit time.Duration) {
	for end := time.Now().Add(limit); !n.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			unable("%s is not ready after %s", n.name, limit)
		}
	}
	n.w.logf("%s is ready", n.name)
}

// route is a route of the operator's configuration.
type route struct {
	Name, Host, Prefix, Kind, Service string
	Timeout, Target                   time.Duration
	Public                            bool
	Attempts                          int
}

type tenant struct {
	Name  string
	Keys  []string
	Rate  float64
	Burst int
}

// putConfig writes a configuration as the operator does. The store's answer is its
// acknowledgement.
func (w *world) putConfig(version int, routes []route, tenants []tenant, services ...string) time.Time {
	type table struct {
		Columns []string `json:"columns"`
		Rows    [][]any  `json:"rows"`
	}
	r := table{Columns: []string{"name", "host", "path-prefix", "kind", "timeout-ms", "target-latency-ms", "priority", "traffic-split", "attempts", "public", "service"}}
	for _, o := range routes {
		r.Rows = append(r.Rows, []any{o.Name, o.Host, o.Prefix, o.Kind, o.Timeout.Milliseconds(), o.Target.Milliseconds(), 1, nil, max(1, o.Attempts), o.Public, o.Service})
	}
	s := table{Columns: []string{"name", "health-check-path", "max-connections", "protocol", "tls"}}
	for _, name := range services {
		s.Rows = append(s.Rows, []any{name, "/health", 700, "h1", false})
	}
	t := table{Columns: []string{"name", "api-keys", "priority", "requests-per-s", "burst"}}
	for _, o := range tenants {
		t.Rows = append(t.Rows, []any{o.Name, o.Keys, 1, o.Rate, o.Burst})
	}
	text, _ := json.Marshal(map[string]any{
		"version": "r" + strconv.Itoa(version), "routes": r, "services": s, "tenants": t,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	w.store.put("op/config", text)
	w.logf("configuration r%d is acknowledged", version)
	return time.Now()
}

// run is one request that an endpoint began to work on.
type run struct {
	id, key string
	at      time.Time
	until   time.Time
}

// endpoint is an application endpoint.
type endpoint struct {
	w       *world
	node    *node
	id      string
	slots   int
	work    time.Duration
	born    int64
	mu      sync.Mutex
	running int
	runs    []*run
	seq     int
	state   string
	quiet   bool // sends no heartbeats
	// handle answers a request that runs, nil for a short answer after the work
	handle func(w http.ResponseWriter, r *http.Request, id string)
	server *http.Server
}

func (w *world) addEndpoint(n *node, id string, slots int, work time.Duration) *endpoint {
	e := &endpoint{w: w, node: n, id: id, slots: slots, work: work, born: time.Now().UnixMilli(), state: "ready"}
	l, err := net.Listen("tcp", n.app)
	if err != nil {
		unable("listen for the endpoint: %v", err)
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	go func() {
		for {
			e.mu.Lock()
			quiet := e.quiet
			e.mu.Unlock()
			if quiet {
				return
			}
			e.beat()
			time.Sleep(heartbeat)
		}
	}()
	return e
}

// body returns the next heartbeat.
func (e *endpoint) body() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	text, _ := json.Marshal(map[string]any{
		"address": e.node.app, "born": e.born,
		"information": map[string]any{"service": e.node.service, "version": "v1", "zone": e.node.zone, "slots": e.slots},
		"status":      map[string]any{"state": e.state, "sequence": e.seq, "cold-remaining-ms": 0},
	})
	return text
}

func (e *endpoint) beat() bool { return e.call(http.MethodPut, e.body()) }

func (e *endpoint) stopHeartbeats() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quiet = true
}

// call makes a call to the node's control address and reports whether it was acknowledged.
func (e *endpoint) call(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+e.node.control+"/instances/"+e.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == 200
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	e.mu.Lock()
	if e.running >= e.slots {
		e.mu.Unlock()
		e.w.logf("%s does not run %s: full", e.id, id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	v := &run{id: id, key: r.Header.Get("Tenant"), at: time.Now()}
	e.runs = append(e.runs, v)
	e.mu.Unlock()
	e.w.started.Store(id, true)
	e.w.logf("%s runs %s", e.id, id)
	defer func() {
		e.mu.Lock()
		e.running--
		v.until = time.Now()
		e.mu.Unlock()
	}()
	if e.handle != nil {
		e.handle(w, r, id)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		e.w.logf("%s drops %s: its body broke off after %d bytes", e.id, id, n)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		e.w.logf("%s drops %s: its connection was closed", e.id, id)
		return
	}
	w.Header().Set("Server-Stamp", e.id+"."+id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", e.running, e.slots))
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", e.id, id)
}

func (e *endpoint) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]run, 0, len(e.runs))
	for _, v := range e.runs {
		out = append(out, *v)
	}
	return out
}

// request is a request of a client.
type request struct {
	id, method, host, path, key string
	body                        []byte
	deadline                    time.Duration
}

// send sends a request on a new connection and returns the status, 0 if there was no answer.
func (w *world) send(ctx context.Context, n *node, r request) int {
	ctx, cancel := context.WithTimeout(ctx, r.deadline)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, r.method, "http://"+n.outbound+r.path, bytes.NewReader(r.body))
	req.Host = r.host
	req.Close = true
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Deadline-Milliseconds", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	w.logf("client sends %s to %s: %s %s, %d bytes", r.id, n.name, r.method, r.path, len(r.body))
	t := &http.Transport{DisableCompression: true}
	defer t.CloseIdleConnections()
	res, err := t.RoundTrip(req)
	if err != nil {
		w.logf("client gets no answer to %s: %v", r.id, err)
		return 0
	}
	text, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	w.logf("client gets %d to %s, stamp %q, %d bytes, retry-after %q, error %v", res.StatusCode, r.id, res.Header.Get("Server-Stamp"), len(text), res.Header.Get("Retry-After"), err)
	return res.StatusCode
}

// upload sends a request with a chunked body in parts, on a new connection, and returns the
// status, 0 if there was no complete answer.
func (w *world) upload(n *node, r request, part int, pace time.Duration) int {
	c, err := net.DialTimeout("tcp", n.outbound, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(r.deadline))
	w.logf("client sends %s to %s: %s %s, %d bytes", r.id, n.name, r.method, r.path, len(r.body))
	go func() {
		_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\nTransfer-Encoding: chunked\r\n\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds())
		for at := 0; err == nil && at < len(r.body); at += part {
			p := r.body[at:min(at+part, len(r.body))]
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(p), p)
			time.Sleep(pace)
		}
		if err == nil {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
	}()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		w.logf("client gets no answer to %s: %v", r.id, err)
		return 0
	}
	n1, err := io.Copy(io.Discard, res.Body)
	w.logf("client gets %d to %s, stamp %q, %d bytes, error %v", res.StatusCode, r.id, res.Header.Get("Server-Stamp"), n1, err)
	if err != nil {
		return 0
	}
	return res.StatusCode
}

func trouble() bool { return os.Getenv("TROUBLE") != "0" }
