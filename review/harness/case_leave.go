package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// restartForgetsLeaving: an endpoint deregisters; the process of its node is killed and
// started again; a heartbeat that the endpoint had sent before arrives late.
func restartForgetsLeaving(w *world) bool {
	const (
		killAfter  = 1 * time.Second // after the acknowledgement
		restart    = 500 * time.Millisecond
		lateBy     = 3500 * time.Millisecond
		servesFor  = 14 * time.Second // after the acknowledgement; the site's scale_in stays for 15 s
		work       = 300 * time.Millisecond
		slots      = 24 // one endpoint alone is busy to two thirds
		interval   = 20 * time.Millisecond
		checkSlack = 200 * time.Millisecond
	)
	front := w.addNode("sidecar-a-1", "front", "zone-a")
	back := w.addNode("sidecar-b-1", "back", "zone-b")
	other := w.addNode("sidecar-c-1", "back", "zone-c")
	w.putConfig(3, []route{{Name: "r-1", Host: host, Prefix: "/order/", Kind: "unsafe", Service: "back", Timeout: 5 * time.Second, Target: 2 * time.Second, Public: true, Attempts: 2}}, nil, "front", "back")
	w.startNodes()
	w.addEndpoint(front, "i-front", 100, work)
	leaving := w.addEndpoint(back, "i-leaving", slots, work)
	w.addEndpoint(other, "i-staying", slots, work)
	w.settle()
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	var mu sync.Mutex
	status := map[string]int{}
	clients.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			clients.Go(func() {
				id := fmt.Sprintf("q%04d", i)
				code := w.send(context.Background(), front, request{id: id, method: "POST", host: host, path: "/order/1", body: []byte("order"), deadline: 5 * time.Second})
				mu.Lock()
				status[id] = code
				mu.Unlock()
			})
			time.Sleep(interval)
		}
	})
	time.Sleep(3 * time.Second)
	leaving.stopHeartbeats()
	late := leaving.body()
	sent := time.Now()
	w.logf("i-leaving sends its last heartbeat (ready); it will arrive late")
	time.Sleep(200 * time.Millisecond)
	if !leaving.call("DELETE", nil) {
		unable("the DELETE of the endpoint was not acknowledged")
	}
	acked := time.Now()
	w.logf("%s acknowledges the DELETE of i-leaving", back.name)
	time.Sleep(killAfter)
	started := acked
	if trouble() {
		back.kill()
		time.Sleep(restart)
		back.start()
		started = time.Now()
	}
	time.Sleep(time.Until(sent.Add(lateBy)))
	w.logf("the late heartbeat of i-leaving arrives; acknowledged: %v", leaving.call("PUT", late))
	time.Sleep(time.Until(acked.Add(servesFor)))
	w.logf("i-leaving exits")
	_ = leaving.server.Close()
	exited := time.Now()
	time.Sleep(time.Second)
	stop()
	clients.Wait()
	late1, lost := 0, 0
	for _, r := range leaving.allRuns() {
		if r.at.Sub(acked) <= drainBound || r.at.Sub(started) <= contactBound+checkSlack {
			continue
		}
		late1++
		if code := status[r.id]; code != 200 {
			lost++
			w.logf("the order %s ran at i-leaving %.1f s after the acknowledgement and got %d", r.id, r.at.Sub(acked).Seconds(), code)
		}
	}
	w.logf("requests that reached i-leaving later than drain-ms after the acknowledgement, all machines in touch: %d; orders among them without success as it exited at %.1f s: %d", late1, exited.Sub(acked).Seconds(), lost)
	return late1 > 0
}
