package main

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["heads"] = heads }

const (
	// A machine of dispatch in the site boliu-mesh-grown.
	grownMemoryMB = 184
	grownSlots    = 324
	// rosterRate is how many calls a second go to dispatch, from all machines: some 330 for each of
	// three endpoints. In boliu-mesh-grown there are some 400 for each of five.
	rosterRate    = 1250
	otherMachines = 7
	illEndpoints  = 2
	// rosterTime is the time for a call: 15 ms of work, and four calls of 55 ms one after the other.
	rosterTime    = 235 * time.Millisecond
	orderRate     = 20
	headBytes     = 60000 // of a head that comes at once; a line a second follows
	headPause     = 1 * time.Second
	headsFor      = 20 * time.Second
	orderDeadline = 5 * time.Second
)

// heads has two endpoints of a service answer with heads that do not end.
func heads() {
	memoryMB = grownMemoryMB
	routes := []routeConfig{
		{name: "crew-roster", host: "dispatch.example", prefix: "/crew/", kind: "safe", service: "dispatch", timeoutMS: 2000, aimMS: 800, priority: 2, attempts: 2, public: true},
		{name: "stake-order", host: "nursery.example", prefix: "/stake/", kind: "unsafe", service: "nursery", timeoutMS: 5000, aimMS: 2000, attempts: 2},
	}
	tenants := []tenantConfig{{name: "crew", keys: []string{tenantKey}, rate: 2000, burst: 2000}}
	machines := []machine{
		{"dispatch", "can-tho", grownSlots, rosterTime}, {"dispatch", "vinh-long", grownSlots, rosterTime}, {"dispatch", "tra-vinh", grownSlots, rosterTime},
		{"nursery", "can-tho", 77, 290 * time.Millisecond}, {"nursery", "vinh-long", 77, 290 * time.Millisecond},
	}
	for i := range otherMachines {
		machines = append(machines, machine{"maps", []string{"can-tho", "vinh-long", "tra-vinh"}[i%3], 72, 220 * time.Millisecond})
	}
	f := startFleet(configText(7, []string{"dispatch", "nursery", "maps"}, routes, tenants), machines)
	to, ill := f.vms[0], f.endpoints[:illEndpoints]
	var faulty atomic.Bool
	for _, e := range ill {
		e.respond = func(w http.ResponseWriter, r *http.Request) bool {
			if faulty.Load() {
				sendEndlessHead(w, r.Header.Get("Request-Id"))
			}
			return faulty.Load()
		}
	}
	w := &watch{to: to, stop: make(chan struct{})}
	for i, v := range f.vms {
		c := &client{to: v.caller}
		w.group.Go(func() {
			for w.wait(time.Second * time.Duration(len(f.vms)) / rosterRate) {
				w.group.Go(func() {
					r := request{id: newID(), method: http.MethodGet, host: "dispatch.example", path: "/crew/1", deadline: 2 * time.Second}
					o := c.send(r)
					record("client at %s: call %s -> %d err=%v ran at the ill endpoints %d", v.name, r.id, o.status, o.err, countRuns(ill, r.id))
				})
			}
		})
		if i != 0 {
			continue
		}
		w.group.Go(func() {
			for w.wait(time.Second / orderRate) {
				w.group.Go(func() { w.order(c, f.endpoints[3:5]) })
			}
		})
	}
	time.Sleep(settleTime)
	faulty.Store(trouble)
	for range int(headsFor / time.Second) {
		time.Sleep(time.Second)
		to.mu.Lock()
		record("%s: %d MB, killed %d times", to.name, memoryKB(to.process.Process.Pid)>>10, to.kills)
		to.mu.Unlock()
	}
	w.end()
	to.mu.Lock()
	kills, exits, peak := to.kills, to.exits, to.peakKB>>10
	to.mu.Unlock()
	judge(w.lost.Load() > 3, "the process of %s was over its %d MB and killed %d times (peak %d MB), and ended %d times; %d orders sent there, %d passed on from a kept connection to a sound endpoint and closed without an answer",
		to.name, memoryMB, kills, peak, exits, w.orders.Load(), w.lost.Load())
}

// order sends an order on a kept connection, and counts it if it has run at one of the sound
// endpoints and its connection was closed without an answer before its deadline.
func (w *watch) order(c *client, sound []*endpoint) {
	r := request{id: newID(), method: http.MethodPost, host: "nursery.example", path: "/stake/1", key: tenantKey, body: "stakes", deadline: orderDeadline}
	o := c.send(r)
	w.orders.Add(1)
	ran := countRuns(sound, r.id)
	record("client at %s: order %s -> %d kept=%v err=%v after %s ran %d", w.to.name, r.id, o.status, o.kept, o.err, o.took.Round(time.Millisecond), ran)
	if o.status == 0 && o.kept && ran > 0 && o.took < r.deadline {
		w.lost.Add(1)
	}
}

// countRuns returns how often a request has run at some endpoints.
func countRuns(list []*endpoint, id string) int {
	n := 0
	for _, e := range list {
		n += e.ran(id)
	}
	return n
}

// sendEndlessHead answers with the head of a response that goes on until the caller closes.
func sendEndlessHead(w http.ResponseWriter, id string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	text := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", id)
	n := 0
	line := func() string { n++; return fmt.Sprintf("%03x:\n", n+0xff) }
	for len(text) < headBytes {
		text = append(text, line()...)
	}
	for _, err = conn.Write(text); err == nil; {
		time.Sleep(headPause)
		_, err = io.WriteString(conn, line())
	}
}
