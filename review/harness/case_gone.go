package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// queuedAfterClientLeft: orders with long bodies wait in the queue of the endpoint's node
// while some of their clients leave.
func queuedAfterClientLeft(w *world) bool {
	const (
		bodyBytes = 100_000
		rounds    = 14
		perRound  = 18
		slots     = 10
		work      = 1400 * time.Millisecond
		leave     = 300 * time.Millisecond
		bound     = 500 * time.Millisecond
		few       = 5
	)
	front := w.addNode("sidecar-a-1", "front", "zone-a")
	back := w.addNode("sidecar-b-1", "back", "zone-b")
	w.putConfig(3, []route{{Name: "r-1", Host: host, Prefix: "/order/", Kind: "unsafe", Service: "back", Timeout: 5 * time.Second, Target: 2 * time.Second, Public: true, Attempts: 2}}, nil, "front", "back")
	w.startNodes()
	w.addEndpoint(front, "i-front", 20, 20*time.Millisecond)
	app := w.addEndpoint(back, "i-back", slots, work)
	w.settle()
	var mu sync.Mutex
	left := map[string]time.Time{}
	var clients sync.WaitGroup
	for i := range rounds {
		for j := range perRound {
			id := fmt.Sprintf("q%02d-%02d", i, j)
			leaves := trouble() && (i*perRound+j)%10 < 3 // share 0.3 of the clients
			clients.Go(func() {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if leaves {
					time.AfterFunc(leave, func() {
						cancel()
						mu.Lock()
						left[id] = time.Now()
						mu.Unlock()
						w.logf("client of %s closes its connection", id)
					})
				}
				w.send(ctx, front, request{id: id, method: "POST", host: host, path: "/order/1", body: make([]byte, bodyBytes), deadline: 5 * time.Second})
			})
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(3200 * time.Millisecond)
	}
	clients.Wait()
	bad := 0
	for _, r := range app.allRuns() {
		if at, ok := left[r.id]; ok && r.at.Sub(at) > bound {
			bad++
			w.logf("the order %s reached i-back %.2f s after its client had closed its connection", r.id, r.at.Sub(at).Seconds())
		}
	}
	w.logf("orders that reached the endpoint more than 0.5 s after their client had closed its connection: %d", bad)
	return bad > few
}
