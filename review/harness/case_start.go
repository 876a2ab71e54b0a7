package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// unknownRouteAfterStart: the process of a node is killed and started again while clients
// on its machine send orders whose bodies take a moment to arrive.
func unknownRouteAfterStart(w *world) bool {
	const (
		orderClients = 20
		bodyBytes    = 24_000
		kills        = 5
		restart      = 500 * time.Millisecond
		allowed      = 10 // from machines out of touch
	)
	front := w.addNode("sidecar-a-1", "front", "zone-a")
	back := w.addNode("sidecar-b-1", "back", "zone-b")
	w.addNode("sidecar-c-1", "back", "zone-c")
	w.putConfig(3, []route{{Name: "r-1", Host: host, Prefix: "/order/", Kind: "unsafe", Service: "back", Timeout: 5 * time.Second, Target: 2 * time.Second, Public: true, Attempts: 2}}, nil, "front", "back")
	w.startNodes()
	for i, n := range w.nodes {
		w.addEndpoint(n, fmt.Sprintf("i-%d", i), 50, 50*time.Millisecond)
	}
	_ = back
	w.settle()
	var stopped atomic.Bool
	var clients sync.WaitGroup
	var mu sync.Mutex
	got := map[int]int{}
	body := pattern(bodyBytes)
	for c := range orderClients {
		clients.Go(func() {
			for i := 0; !stopped.Load(); i++ {
				r := request{id: fmt.Sprintf("q%d-%04d", c, i), method: "POST", host: host, path: "/order/1", body: body, deadline: 5 * time.Second}
				status := w.upload(front, r, bodyBytes/4, startPace)
				if status == 0 {
					time.Sleep(5 * time.Millisecond)
				}
				mu.Lock()
				got[status]++
				mu.Unlock()
			}
		})
	}
	for range kills {
		time.Sleep(6 * time.Second)
		if trouble() {
			front.kill()
			time.Sleep(restart)
			front.start()
		}
	}
	time.Sleep(6 * time.Second)
	stopped.Store(true)
	clients.Wait()
	w.logf("answers by status (0: no answer): %v", got)
	w.logf("answers 404 to a route that every configuration has: %d, allowed from machines out of touch: %d", got[404], allowed)
	return got[404] > allowed
}

// startPace is the time between two of the four parts in which a client sends a body.
const startPace = 100 * time.Millisecond
