package main

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["drill"] = drill }

// Times of the drill, from the acknowledgement of the endpoint's leaving.
const (
	copyAge     = 1 * time.Second // of the copy, at the acknowledgement
	awayAt      = 500 * time.Millisecond
	backAt      = 1500 * time.Millisecond
	killAt      = 2500 * time.Millisecond
	lateBeatAt  = 4 * time.Second
	endpointEnd = 15 * time.Second
)

// drill lets an endpoint leave, brings the store back from a copy that is older than that, and
// kills the node beside the endpoint.
func drill() {
	f := newGritFleet([]string{"kasir", "kasir", "kasir", "gudang", "gudang", "gudang"})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sent, lost atomic.Int64
	leaving, beside := f.endpoints[0], f.vms[0]
	for i, v := range f.vms {
		c := &client{to: v.caller}
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				wg.Go(func() {
					r := request{id: newID(), method: "POST", host: "kasir.example", path: "/pay/1", key: tenantKey, body: "deposit", deadline: 6 * time.Second}
					record("client at %s sends %s", v.name, r.id)
					o := c.send(r)
					sent.Add(1)
					record("client at %s: %s -> %d err=%v ran at the leaving endpoint %d", v.name, r.id, o.status, o.err, leaving.ran(r.id))
					if i != 0 && o.status != 200 && leaving.ran(r.id) > 0 {
						lost.Add(1)
					}
				})
			}
		})
	}
	time.Sleep(3 * time.Second)
	before := f.store.copy()
	time.Sleep(copyAge)
	leaving.mu.Lock()
	leaving.quiet = true // it says nothing more of itself than that it leaves
	leaving.beats++
	late := leaving.beats // a heartbeat that is sent now, before, and arrives late
	leaving.mu.Unlock()
	acked := leave(beside.heartbeat, leaving.id)
	at := time.Now()
	record("%s leaves: acknowledged %v", leaving.id, acked)
	if !acked {
		cannotRun("the endpoint's leaving was not acknowledged")
	}
	until := func(d time.Duration) { time.Sleep(time.Until(at.Add(d))) }
	until(awayAt)
	if trouble {
		record("the store is away; its keys: %v", f.store.keys("celeryshelf/member/"))
		f.store.goAway()
	}
	until(backAt)
	if trouble {
		f.store.comeBack(before)
		record("the store is back from a copy of %s ago; its keys: %v", time.Since(before.taken).Round(time.Millisecond), f.store.keys("celeryshelf/member/"))
	}
	until(killAt)
	record("the process of %s is killed", beside.name)
	beside.signal(syscall.SIGKILL)
	until(lateBeatAt)
	ok := beat(beside.heartbeat, leaving.id, beside.endpoint, beside.service, "ready", leaving.slots, leaving.born, late)
	record("a heartbeat that %s sent before it left arrives: acknowledged %v", leaving.id, ok)
	until(endpointEnd)
	_ = leaving.server.Close()
	record("%s has ended", leaving.id)
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	// Machines are in touch again contact-ms after the last disruption, the kill.
	from := at.Add(killAt + restartDelay + time.Second + contactTime)
	reached := 0
	leaving.mu.Lock()
	for _, began := range leaving.began {
		if began.After(from) && began.Sub(at) > drainTime {
			reached++
		}
	}
	leaving.mu.Unlock()
	judge(reached > 0, "%d requests sent; %d reached the endpoint that had left, later than drain-ms after its acknowledgement, from machines in touch; %d of its requests had no success", sent.Load(), reached, lost.Load())
}
