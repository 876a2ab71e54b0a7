package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["large"] = large }

const (
	valueBytes = 1 << 20 // value-bytes
	configTime = 2 * time.Second
	largeFor   = 20 * time.Second
	largePause = 200 * time.Millisecond
	largeVMs   = 9             // of one zone
	shortKey   = "6wsjnba%09d" // 16 characters
)

// large replaces the configuration by one that is as large as the store allows, and in which a
// route is gone.
func large() {
	kept := routeConfig{name: "stock-check", host: "gudang.example", prefix: "/stock/", kind: "safe", service: "gudang", timeoutMS: 3000, aimMS: 1500, priority: 2, attempts: 2}
	dropped := routeConfig{name: "stock-list", host: "gudang.example", prefix: "/list/", kind: "safe", service: "gudang", timeoutMS: 3000, aimMS: 1500, priority: 2, attempts: 2, public: true}
	config := func(version, keys int, routes ...routeConfig) []byte {
		return configText(version, []string{"gudang", "kasir"}, routes, tenantsWithKeys(shortKey, keys))
	}
	var machines []machine
	for i := range largeVMs {
		machines = append(machines, machine{[]string{"gudang", "kasir"}[i%2], "semarang", 120, 20 * time.Millisecond})
	}
	machines = append(machines, machine{"gudang", "pati", 120, 20 * time.Millisecond}, machine{"kasir", "rembang", 120, 20 * time.Millisecond})
	f := startFleet(config(7, 0, kept, dropped), machines)
	keys := 0
	if trouble {
		for keys = 54000; len(config(9, keys+200, kept)) < valueBytes; keys += 200 {
		}
	}
	next := config(9, keys, kept)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	var acked time.Time
	stale, refused, total := map[string]int{}, map[string]int{}, 0
	for _, v := range f.vms {
		c := &client{to: v.caller}
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(largePause):
				}
				r := request{id: newID(), method: http.MethodGet, host: "gudang.example", path: "/list/1", deadline: 3 * time.Second}
				sent := time.Now()
				o := c.send(r)
				q := request{id: newID(), method: http.MethodGet, host: "gudang.example", path: "/stock/1", key: tenantKey, deadline: 3 * time.Second}
				o2 := c.send(q)
				mu.Lock()
				late := !acked.IsZero() && sent.Sub(acked) > configTime
				record("client at %s: dropped route %s -> %d err=%v; kept route with a key %s -> %d err=%v; %v after the change", v.name, r.id, o.status, o.err, q.id, o2.status, o2.err, late)
				if late {
					total++
					if o.status == http.StatusOK {
						stale[v.name]++
					}
					if o2.status != http.StatusOK {
						refused[v.name]++
					}
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	f.store.put("op/config", next)
	mu.Lock()
	acked = time.Now()
	mu.Unlock()
	record("the store holds version 9: %d bytes, %d keys", len(next), keys)
	time.Sleep(largeFor)
	close(stop)
	group.Wait()
	n := 0
	for _, k := range stale {
		n += k
	}
	judge(n > 0, "%d bytes, %d keys; sent later than config-apply-ms after the acknowledgement: %d requests on the dropped route, %d served by %d machines %v; on the kept route with a key refused: %v",
		len(next), keys, total, n, len(stale), stale, refused)
}
