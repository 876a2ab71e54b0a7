package main

import (
	"fmt"
	"time"
)

const (
	drainTime   = 2 * time.Second // drain-ms
	contactTime = 3 * time.Second // contact-ms
	settleTime  = 3 * time.Second
)

// zones are the failure domains of the site grit-jateng.
var zones = []string{"semarang", "pati", "rembang"}

// newGritFleet starts a small deployment like grit-jateng with a machine for each of the given
// services, and waits until it is ready.
func newGritFleet(services []string) *fleet {
	routes := []routeConfig{
		{name: "deposit-pay", host: "kasir.example", prefix: "/pay/", kind: "unsafe", service: "kasir", timeoutMS: 3000, aimMS: 1500, attempts: 2},
		{name: "stock-check", host: "gudang.example", prefix: "/stock/", kind: "safe", service: "gudang", timeoutMS: 3000, aimMS: 1500, priority: 2, attempts: 2},
		{name: "ledger-read", host: "inner.example", prefix: "/ledger/", kind: "safe", service: "gudang", timeoutMS: 3000, aimMS: 1200, priority: 2, attempts: 2, public: true},
	}
	tenants := []tenantConfig{{name: "mill", keys: []string{tenantKey}, rate: 1000, burst: 1000}}
	running = newFleet(configText(7, []string{"gudang", "kasir"}, routes, tenants))
	f := running
	for i, s := range services {
		v := f.add(fmt.Sprintf("sidecar-%d", i), s, zones[i%len(zones)])
		f.start(v)
		slots, work := 159, 160*time.Millisecond
		if s == "gudang" {
			slots, work = 120, 120*time.Millisecond
		}
		f.endpoints = append(f.endpoints, startEndpoint(v, "i-"+v.name, slots, work))
	}
	f.awaitReady()
	time.Sleep(settleTime)
	return f
}
