package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["room"] = room }

const (
	// silentFields short fields count as 16,000 bytes: "a: " and the end of a line for each. The
	// operator's limit is 16,384.
	silentFields  = 3200
	silentClients = 22
	silentTime    = 20 * time.Second
	depositPause  = 200 * time.Millisecond
	fillPause     = 10 * time.Millisecond
)

// room has a few clients send requests inside the operator's limits, without a key, whose bodies
// do not come.
func room() {
	f := newGritFleet([]string{"kasir", "gudang", "gudang"})
	to := f.vms[0]
	// The endpoint beside the node calls another service for each deposit that it runs.
	var calls, refusedCalls atomic.Int64
	f.endpoints[0].call = func(parent *http.Request) bool {
		c := &client{to: to.caller}
		defer c.closeIdle()
		r := request{id: newID(), method: http.MethodGet, host: "inner.example", path: "/ledger/1", deadline: 2 * time.Second}
		o := c.send(r)
		calls.Add(1)
		if o.status != http.StatusOK {
			refusedCalls.Add(1)
		}
		record("call %s of %s for %s -> %d err=%v", r.id, f.endpoints[0].id, parent.Header.Get("Request-Id"), o.status, o.err)
		return o.status == http.StatusOK
	}
	w := observe(to)
	var deposits, lost atomic.Int64
	w.group.Go(func() {
		c := &client{to: f.vms[1].caller}
		for w.wait(depositPause) {
			r := request{id: newID(), method: http.MethodPost, host: "kasir.example", path: "/pay/1", key: tenantKey, body: "deposit", deadline: 6 * time.Second}
			o := c.send(r)
			deposits.Add(1)
			record("deposit %s at %s -> %d stamp=%q err=%v ran %d", r.id, f.vms[1].name, o.status, o.stamp, o.err, f.endpoints[0].ran(r.id))
			if o.status != http.StatusOK && f.endpoints[0].ran(r.id) > 0 {
				lost.Add(1)
			}
		}
	})
	time.Sleep(3 * time.Second)
	if trouble {
		for range silentClients {
			sendSilently(to, silentFields)
			time.Sleep(fillPause)
		}
		for n := silentFields / 2; n > 0; n /= 2 {
			sendSilently(to, n)
			time.Sleep(fillPause)
		}
		w.group.Go(func() { // a further client that needs little room, until there is none
			for w.wait(fillPause) {
				sendSilently(to, 0)
			}
		})
	}
	time.Sleep(silentTime)
	held := silentOpen.Load()
	w.end()
	// The node ends a connection that it doesn't take with its connection refusal, which closes it.
	taken := func(t try) bool { return t.status != 0 && !(t.status == http.StatusServiceUnavailable && t.closes) }
	span := w.longestWithout(taken)
	judge(span > contactTime, "connections of silent clients %d; ordinary clients at %s: %d attempts, %d served, %d not taken; longest span without a taken connection, while it was ready: %s; deposits %d, of which ran and failed %d; calls of the endpoint %d, failed %d; memory %d MB",
		held, to.name, len(w.tries), w.count(func(t try) bool { return t.status == http.StatusOK }), w.count(func(t try) bool { return !taken(t) }), span.Round(time.Millisecond), deposits.Load(), lost.Load(), calls.Load(), refusedCalls.Load(), memoryKB(to.process.Process.Pid)>>10)
}

// silentOpen is the number of connections of silent clients that the node has not ended.
var silentOpen atomic.Int64

// sendSilently sends a request with a number of short fields, without a key and without its body.
func sendSilently(to *vm, fields int) {
	conn, err := net.DialTimeout("tcp", to.caller, time.Second)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "POST /pay/1 HTTP/1.1\r\nHost: kasir.example\r\nContent-Length: 100\r\n%s\r\n", strings.Repeat("a:\n", fields))
	silentOpen.Add(1)
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		silentOpen.Add(-1)
	}()
}
