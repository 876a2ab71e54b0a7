package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["hold"] = hold }

const (
	holders       = 1500
	holdInterval  = 800 * time.Millisecond
	holdTime      = 4700 * time.Millisecond
	holdBodyBytes = 16000
	idlers        = 120
	holdFor       = 20 * time.Second
)

// hold has many clients, without a key, send the bodies of their requests slowly, and some connect
// and send nothing.
func hold() {
	f := newGritFleet([]string{"kasir", "gudang", "gudang"})
	to := f.vms[0]
	w := observe(to)
	time.Sleep(3 * time.Second)
	if trouble {
		record("%d clients begin to send their bodies slowly, and %d send nothing", holders, idlers)
		for range holders {
			w.group.Go(func() {
				for w.wait(20 * time.Millisecond) {
					w.sendSlowly()
				}
			})
		}
		for range idlers {
			w.group.Go(func() {
				for w.wait(5 * time.Millisecond) {
					conn, err := net.DialTimeout("tcp", to.caller, time.Second)
					if err != nil {
						continue
					}
					_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
					_, _ = io.Copy(io.Discard, conn)
					_ = conn.Close()
				}
			})
		}
	}
	time.Sleep(holdFor)
	w.end()
	answered := func(t try) bool { return t.status != 0 }
	span := w.longestWithout(answered)
	judge(span > contactTime, "ordinary clients at %s: %d attempts, %d served, %d refused, %d without an answer; longest span without any answer, while it was ready: %s; memory %d MB",
		to.name, len(w.tries), w.count(func(t try) bool { return t.status == http.StatusOK }), w.count(func(t try) bool { return t.status != 0 && t.status != http.StatusOK }),
		w.count(func(t try) bool { return !answered(t) }), span.Round(time.Millisecond), memoryKB(to.process.Process.Pid)>>10)
}

// sendSlowly sends a request whose body comes a byte at a time, until holdTime is over or the node
// closes the connection.
func (w *watch) sendSlowly() {
	conn, err := net.DialTimeout("tcp", w.to.caller, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "POST /pay/1 HTTP/1.1\r\nHost: kasir.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 6000\r\nContent-Length: %d\r\n\r\n", newID(), holdBodyBytes); err != nil {
		return
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	}()
	for end := time.Now().Add(holdTime); time.Now().Before(end); {
		select {
		case <-closed:
			return
		case <-w.stop:
			return
		case <-time.After(holdInterval):
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
		}
	}
}
