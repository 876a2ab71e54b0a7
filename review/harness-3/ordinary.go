package main

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	ordinaryClients = 12 // the rule needs seven that try
	leastClients    = 7
	ordinaryPause   = 250 * time.Millisecond
	probeInterval   = 500 * time.Millisecond
	tenantKey       = "millkey00000000000001"
)

// try is an ordinary client's attempt on a new connection.
type try struct {
	at     time.Time
	client int
	outcome
}

// watch is what ordinary clients and the platform's prober see of one machine.
type watch struct {
	to      *vm
	stop    chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	tries   []try
	unready []time.Time
	probes  int

	orders, lost atomic.Int64
}

// observe lets ordinary clients send requests to a machine, each on a new connection, and asks
// it whether it is ready.
func observe(to *vm) *watch {
	w := &watch{to: to, stop: make(chan struct{})}
	for k := range ordinaryClients {
		w.group.Go(func() { w.send(k) })
	}
	w.group.Go(w.probe)
	return w
}

// wait waits for a time, and reports false if the observation has ended.
func (w *watch) wait(d time.Duration) bool {
	select {
	case <-w.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (w *watch) send(k int) {
	for w.wait(ordinaryPause) {
		c := &client{to: w.to.caller}
		r := request{id: newID(), method: http.MethodGet, host: "gudang.example", path: "/stock/1", key: tenantKey, deadline: 6 * time.Second}
		t := try{at: time.Now(), client: k, outcome: c.send(r)}
		c.closeIdle()
		record("client %d at %s: %s -> %d closes=%v err=%v after %s", k, w.to.name, r.id, t.status, t.closes, t.err, t.took.Round(time.Millisecond))
		w.mu.Lock()
		w.tries = append(w.tries, t)
		w.mu.Unlock()
	}
}

func (w *watch) probe() {
	for w.wait(probeInterval) {
		at := time.Now()
		ready := w.to.isReady()
		w.mu.Lock()
		w.probes++
		if !ready {
			w.unready = append(w.unready, at)
		}
		w.mu.Unlock()
		if !ready {
			record("%s isn't ready", w.to.name)
		}
	}
}

// end ends the observation.
func (w *watch) end() {
	close(w.stop)
	w.group.Wait()
	slices.SortFunc(w.tries, func(a, b try) int { return a.at.Compare(b.at) })
}

// longestWithout returns the longest span in which the machine said that it was ready, at least
// leastClients tried, and none of their connections was taken.
func (w *watch) longestWithout(taken func(t try) bool) time.Duration {
	var longest time.Duration
	var start time.Time
	clients := map[int]bool{}
	for _, t := range w.tries {
		if taken(t) || slices.ContainsFunc(w.unready, func(at time.Time) bool { return at.After(start) && at.Before(t.at) }) {
			start, clients = time.Time{}, map[int]bool{}
			continue
		}
		if start.IsZero() {
			start = t.at
		}
		clients[t.client] = true
		if len(clients) >= leastClients {
			longest = max(longest, t.at.Sub(start))
		}
	}
	return longest
}

// count returns how many attempts had a property.
func (w *watch) count(has func(t try) bool) int {
	n := 0
	for _, t := range w.tries {
		if has(t) {
			n++
		}
	}
	return n
}
