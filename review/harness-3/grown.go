package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["grown"] = grown }

const (
	// Machines as in the sites of grown/, of one zone and of two others.
	grownMemoryMB = 184
	grownVMs      = 20
	otherVMs      = 2
	stormGap      = 330 * time.Millisecond
	stormTime     = 4 * time.Second
	stormAfter    = 24 * time.Second
	sampleKey     = "6wsjnbanfqa%09d" // 20 characters, as on the pages
	sampleKeys    = 45400
	tenantCount   = 8
	requestPause  = 125 * time.Millisecond
)

// grown changes a configuration of about the size that the store allows in quick succession.
func grown() {
	memoryMB = grownMemoryMB
	routes := []routeConfig{
		{name: "deposit-pay", host: "kasir.example", prefix: "/pay/", kind: "unsafe", service: "kasir", timeoutMS: 3000, aimMS: 1500, attempts: 2},
		{name: "stock-check", host: "gudang.example", prefix: "/stock/", kind: "safe", service: "gudang", timeoutMS: 3000, aimMS: 1500, priority: 2, attempts: 2, public: true},
	}
	services := []string{"gudang", "kasir"}
	var machines []machine
	for i := range grownVMs + otherVMs {
		m := machine{services[i%2], "semarang", 80, 300 * time.Millisecond}
		if i >= grownVMs {
			m.zone = zones[1+i%2]
		}
		machines = append(machines, m)
	}
	f := startFleet(configText(7, services, routes, tenantsWithKeys(sampleKey, 0)), machines)
	var watches []*watch
	for _, v := range f.vms {
		w := &watch{to: v, stop: make(chan struct{})}
		c := &client{to: v.caller}
		for _, r := range []request{
			{method: http.MethodPost, host: "kasir.example", path: "/pay/1", key: tenantKey, body: "deposit"},
			{method: http.MethodGet, host: "gudang.example", path: "/stock/1"},
		} {
			w.group.Go(func() {
				for w.wait(requestPause) {
					w.group.Go(func() { w.order(c, r, f.endpoints) })
				}
			})
		}
		watches = append(watches, w)
	}
	time.Sleep(settleTime)
	if trouble {
		version := 8
		for end := time.Now().Add(stormTime); time.Now().Before(end); time.Sleep(stormGap) {
			routes[0].timeoutMS = 3000 + version
			text := configText(version, services, routes, tenantsWithKeys(sampleKey, sampleKeys))
			f.store.put("op/config", text)
			record("the store holds version %d: %d bytes", version, len(text))
			version++
		}
	}
	time.Sleep(stormAfter)
	kills, machinesKilled, peak, orders, lost, exits := 0, 0, 0, int64(0), int64(0), 0
	for _, w := range watches {
		w.end()
		w.to.mu.Lock()
		kills += w.to.kills
		exits += w.to.exits
		peak = max(peak, w.to.peakKB>>10)
		if w.to.kills > 0 {
			machinesKilled++
		}
		w.to.mu.Unlock()
		orders += w.orders.Load()
		lost += w.lost.Load()
	}
	judge(lost > 3, "%d processes on %d of %d machines were over their %d MB and killed (peak %d MB), %d ended by themselves; %d requests, %d passed on from a kept connection to a sound endpoint and closed without an answer",
		kills, machinesKilled, len(f.vms), memoryMB, peak, exits, orders, lost)
}

// tenantsWithKeys returns the tenants of a deployment with a number of further keys in a format.
func tenantsWithKeys(format string, n int) []tenantConfig {
	tenants := []tenantConfig{{name: "mill", keys: []string{tenantKey}, rate: 2000, burst: 2000}}
	for t := range tenantCount {
		c := tenantConfig{name: fmt.Sprintf("co-op-%d", t), rate: 100, burst: 100, keys: []string{fmt.Sprintf("first-key-of-co-op-%d", t)}}
		for k := range n / tenantCount {
			c.keys = append(c.keys, fmt.Sprintf(format, t*1000000+k))
		}
		tenants = append(tenants, c)
	}
	return tenants
}

// order sends a request on a kept connection, and counts it if it has run at a sound endpoint and
// its connection was closed without an answer before its deadline.
func (w *watch) order(c *client, r request, sound []*endpoint) {
	r.id, r.deadline = newID(), 6*time.Second
	o := c.send(r)
	ran := 0
	for _, e := range sound {
		ran += e.ran(r.id)
	}
	w.orders.Add(1)
	record("client at %s: %s %s -> %d kept=%v err=%v after %s ran %d", w.to.name, r.host, r.id, o.status, o.kept, o.err, o.took.Round(time.Millisecond), ran)
	if o.status == 0 && o.kept && ran > 0 && o.took < r.deadline {
		w.lost.Add(1)
	}
}
