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
	var machines []machine
	for i, s := range services {
		m := machine{s, zones[i%len(zones)], 159, 160 * time.Millisecond}
		if s == "gudang" {
			m.slots, m.work = 120, 120*time.Millisecond
		}
		machines = append(machines, m)
	}
	return startFleet(configText(7, []string{"gudang", "kasir"}, routes, tenants), machines)
}

// machine is a machine to start: its endpoint's service, slots and time for a request, and its
// zone.
type machine struct {
	service, zone string
	slots         int
	work          time.Duration
}

// startFleet starts a deployment with a configuration and waits until it is ready.
func startFleet(config []byte, machines []machine) *fleet {
	running = newFleet(config)
	f := running
	for i, m := range machines {
		v := f.add(fmt.Sprintf("sidecar-%d", i), m.service, m.zone)
		f.start(v)
		f.endpoints = append(f.endpoints, startEndpoint(v, "i-"+v.name, m.slots, m.work))
	}
	f.awaitReady()
	time.Sleep(settleTime)
	return f
}
