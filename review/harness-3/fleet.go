package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of a small deployment, as in the site file grit-jateng.
const (
	descriptors  = 4100
	graceSeconds = 6
	heartbeat    = 1500 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	readyTimeout = 20 * time.Second
)

// memoryMB is the memory of a machine.
var memoryMB = 284

// vm is a machine with a node and the address of its endpoint.
type vm struct {
	name, service, zone                                        string
	caller, node, control, heartbeat, ready, metrics, endpoint string
	file                                                       string
	log                                                        *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	stopped bool // it is not restarted
	kills   int  // by the platform, as the memory was over the limit
	exits   int  // by itself
	peakKB  int
}

// fleet is a deployment on loopback addresses.
type fleet struct {
	dir     string
	store   *store
	storeAt string
	vms     []*vm

	endpoints []*endpoint // beside the vms
}

// host is a loopback address of this run, so that two runs at the same time do not take each
// other's ports.
var host = fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(200), rand.IntN(256), 1+rand.IntN(254))

// givenAddrs holds the addresses that freeAddrs has returned. Processes that have not started yet
// will listen on some of them.
var givenAddrs = map[string]bool{}

// freeAddrs returns n free addresses of the host.
func freeAddrs(n int) []string {
	var out []string
	for len(out) < n {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			cannotRun("find a free port: %v", err)
		}
		address := l.Addr().String()
		_ = l.Close()
		if !givenAddrs[address] {
			givenAddrs[address] = true
			out = append(out, address)
		}
	}
	return out
}

func newFleet(config []byte) *fleet {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		cannotRun("make a temporary folder: %v", err)
	}
	f := &fleet{dir: dir, store: newStore()}
	f.storeAt = f.store.serve()
	f.store.put("op/config", config)
	return f
}

// add adds a machine. Its node is not started yet.
func (f *fleet) add(name, service, zone string) *vm {
	a := freeAddrs(7)
	v := &vm{name: name, service: service, zone: zone, caller: a[0], node: a[1], control: a[2], heartbeat: a[3], ready: a[4], metrics: a[5], endpoint: a[6]}
	f.vms = append(f.vms, v)
	return v
}

// start starts the node of a machine with the command of the deploy file and the settings that
// its template gives.
func (f *fleet) start(v *vm) {
	settings := map[string]any{
		"name": v.name, "service": v.service, "domain": v.zone, "region": "jawa-tengah",
		"listen":    map[string]string{"caller": v.caller, "node": v.node, "control": v.control, "heartbeat": v.heartbeat, "ready": v.ready, "metrics": v.metrics},
		"target":    v.endpoint,
		"store":     map[string]string{"address": f.storeAt, "prefix": "celeryshelf/", "lease": "4s"},
		"heartbeat": fmt.Sprintf("%dms", heartbeat.Milliseconds()), "revoke": "5000ms", "drain": "2000ms",
		"limit": fmt.Sprintf("%ds", graceSeconds), "memory": memoryMB, "descriptors": descriptors,
		"retry": map[string]any{"ratio": 0.2, "window": "10s", "slack": 47},
		"log":   map[string]string{"level": "info"},
	}
	text, _ := json.Marshal(settings)
	v.file = filepath.Join(f.dir, v.name+".json")
	if err := os.WriteFile(v.file, text, 0o600); err != nil {
		cannotRun("write settings: %v", err)
	}
	log, err := os.Create(filepath.Join(f.dir, v.name+".log"))
	if err != nil {
		cannotRun("create a log: %v", err)
	}
	v.log = log
	v.launch()
	go v.supervise()
}

// launch starts the process, unless the machine has been stopped.
func (v *vm) launch() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped {
		return
	}
	c := exec.Command(program)
	c.Env = []string{"CELERYSHELF_NODE_FILE=" + v.file}
	c.Stdout, c.Stderr = v.log, v.log
	if err := c.Start(); err != nil {
		go cannotRun("start the node: %v", err)
		return
	}
	done := make(chan struct{})
	v.process, v.exited = c, done
	go func() {
		_ = c.Wait()
		close(done)
	}()
}

// supervise does what the platform does: it kills a process over its memory, and starts an ended
// one again after a short delay.
func (v *vm) supervise() {
	for range time.Tick(20 * time.Millisecond) {
		v.mu.Lock()
		p, done, stopped := v.process, v.exited, v.stopped
		v.mu.Unlock()
		if stopped {
			return
		}
		select {
		case <-done:
			v.mu.Lock()
			v.exits++
			v.mu.Unlock()
			record("%s: its process has ended: %v", v.name, p.ProcessState)
			time.Sleep(restartDelay)
			v.launch()
			continue
		default:
		}
		kb := memoryKB(p.Process.Pid)
		v.mu.Lock()
		v.peakKB = max(v.peakKB, kb)
		v.mu.Unlock()
		if kb > memoryMB<<10 {
			record("%s: its process uses %d MB, the limit is %d: killed", v.name, kb>>10, memoryMB)
			v.mu.Lock()
			v.kills++
			v.mu.Unlock()
			_ = p.Process.Kill()
			<-done
			time.Sleep(restartDelay)
			v.launch()
		}
	}
}

// memoryKB returns the resident memory of a process.
func memoryKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// signal sends a signal to the node of a machine.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.process.Process.Signal(s)
}

// stop ends the node of a machine for good.
func (v *vm) stop() {
	v.mu.Lock()
	v.stopped = true
	p, done := v.process, v.exited
	v.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.Process.Kill()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
}

// stop ends all processes and removes the folder.
func (f *fleet) stop() {
	for _, v := range f.vms {
		v.stop()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		fmt.Println("kept", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// isReady asks a node as the platform's prober does.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + v.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady() {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range f.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(f.vms) {
			return
		}
		if time.Now().After(end) {
			cannotRun("only %d of %d nodes are ready", ready, len(f.vms))
		}
	}
}

// leave tells a node that an endpoint leaves and reports whether it was acknowledged.
func leave(to, id string) bool {
	req, _ := http.NewRequest(http.MethodDelete, "http://"+to+"/instances/"+id, nil)
	c := http.Client{Timeout: time.Second}
	res, err := c.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// beat sends a heartbeat of an endpoint and reports whether it was acknowledged.
func beat(to, id, address, service, state string, slots int, born int64, sequence int) bool {
	body, _ := json.Marshal(map[string]any{
		"address": address, "born": born,
		"information": map[string]any{"service": service, "version": "v1", "zone": "z", "slots": slots},
		"status":      map[string]any{"state": state, "sequence": sequence, "cold-remaining-ms": 0},
	})
	req, _ := http.NewRequest(http.MethodPut, "http://"+to+"/instances/"+id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: time.Second}
	res, err := c.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
