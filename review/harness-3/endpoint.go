package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpoint is a sound endpoint of the platform.
type endpoint struct {
	id, service string
	slots       int
	work        time.Duration
	mu          sync.Mutex
	running     int
	state       string
	quiet       bool                 // sends no heartbeats
	runs        map[string]int       // by request
	began       map[string]time.Time // when a request was first run
	born        int64
	beats       int // heartbeats sent

	server *http.Server
}

// startEndpoint starts the endpoint of a machine with its heartbeats.
func startEndpoint(v *vm, id string, slots int, work time.Duration) *endpoint {
	e := &endpoint{id: id, service: v.service, slots: slots, work: work, state: "ready", runs: map[string]int{}, began: map[string]time.Time{}, born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp", v.endpoint)
	if err != nil {
		cannotRun("listen for an endpoint: %v", err)
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	go func() {
		for {
			e.mu.Lock()
			state, quiet := e.state, e.quiet
			e.beats++
			n := e.beats
			e.mu.Unlock()
			if quiet {
				return
			}
			beat(v.heartbeat, e.id, v.endpoint, v.service, state, slots, e.born, n)
			time.Sleep(heartbeat)
		}
	}()
	return e
}

// ServeHTTP runs a request as the pages say.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	if e.running >= e.slots {
		e.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.runs[id]++
	if e.runs[id] == 1 {
		e.began[id] = time.Now()
	}
	running := e.running
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	record("%s runs %s tenant=%q deadline=%s caller=%s", e.id, id, r.Header.Get("Tenant"), r.Header.Get("Deadline-Milliseconds"), r.Header.Get("Caller-Service"))
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	wait := e.work
	status := http.StatusOK
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Milliseconds")); err == nil && time.Duration(ms)*time.Millisecond < wait {
		wait, status = time.Duration(ms)*time.Millisecond, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Server-Stamp", "stamp-"+e.id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running, e.slots))
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", e.id, id)
}

// ran returns how often a request has run.
func (e *endpoint) ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}
