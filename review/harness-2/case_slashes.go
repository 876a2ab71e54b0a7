package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slashConns   = 95     // of one client that nobody controls
	slashBytes   = 67_000 // of the path of its requests
	slashLead    = 2 * time.Second
	slashTime    = 15 * time.Second
	slashCallers = 10 // ordinary clients
	slashEach    = 200 * time.Millisecond
	slashTimeout = 2 * time.Second // of the ordinary clients' route, and their deadline
	slashLate    = 500 * time.Millisecond
	slashFewest  = 8 // unanswered requests that are judged
)

// sendSlashes sends requests one after the other, each with a path of slashes that no route matches.
func sendSlashes(address string, stop <-chan struct{}, answers *atomic.Int64) {
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	request := "HEAD " + strings.Repeat("/", slashBytes) + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: x\r\n\r\n"
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := d.Dial("tcp", address)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		_ = c.SetDeadline(time.Now().Add(slashTime))
		for in := bufio.NewReader(c); err == nil; {
			if _, err = io.WriteString(c, request); err != nil {
				break
			}
			var res *http.Response
			if res, err = http.ReadResponse(in, &http.Request{Method: http.MethodHead}); err != nil {
				break
			}
			answers.Add(1)
			_, err = io.Copy(io.Discard, res.Body)
			select {
			case <-stop:
				err = net.ErrClosed
			default:
			}
		}
		_ = c.Close()
	}
}

// runSlashes lets ordinary clients ask a node on a machine of one core, with the disruption beside a
// client that sends long paths.
func runSlashes(r *rig) bool {
	r.startStore()
	r.put(configuration{
		version: 1, services: []string{"tracks"},
		routes:  []route{{name: "r-index", host: "a.example", prefix: "/index/", kind: "safe", service: "tracks", timeout: slashTimeout, objective: 800 * time.Millisecond, attempts: 2}},
		tenants: []tenant{{name: "t1", key: "key1", rate: 200}},
	})
	target := r.addNode(nodeConfig{name: "sidecar-a-1", service: "tracks", zone: "a", memoryMB: 284, oneCore: true})
	r.addEndpoint(target, "i-tracks", 100, func(c *net.TCPConn, _ *bufio.Reader, req *http.Request) bool {
		id := req.Header.Get("Request-Id")
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Length: 2\r\n\r\nok", id, id)
		return true
	})
	r.await("the node", 15*time.Second, target.isReady)
	time.Sleep(4 * time.Second) // heartbeats

	stop := make(chan struct{})
	var answers atomic.Int64
	if r.trouble {
		for range slashConns {
			go sendSlashes(target.outbound, stop, &answers)
		}
	}
	time.Sleep(slashLead)
	var mu sync.Mutex
	counts := map[string]int{}
	unanswered, late := 0, 0
	began := time.Now()
	var group sync.WaitGroup
	for k := range slashCallers {
		group.Go(func() {
			time.Sleep(time.Duration(k) * slashEach / slashCallers)
			for n := 0; time.Since(began) < slashTime; n++ {
				id := fmt.Sprintf("ordinary%d-%d", k, n)
				sent := time.Now()
				answer := get(target.outbound, "/index/x", id, slashTimeout)
				took := time.Since(sent)
				r.logf("the ordinary client's %s gets after %.3f s: %s", id, took.Seconds(), answer)
				mu.Lock()
				counts[strings.SplitN(answer, ":", 2)[0]]++
				if took >= slashTimeout {
					unanswered++
				}
				if took >= slashTimeout+slashLate {
					late++
				}
				mu.Unlock()
				time.Sleep(slashEach)
			}
		})
	}
	ready, asked := 0, 0
	for ; time.Since(began) < slashTime; time.Sleep(time.Second) {
		asked++
		if target.isReady() {
			ready++
		}
	}
	group.Wait()
	close(stop)
	r.logf("ordinary requests: %v; %d had no answer at their route's timeout, %d of these none %s later", counts, unanswered, late, slashLate)
	r.logf("the other client got %d answers; the node said that it was ready in %d of %d questions", answers.Load(), ready, asked)
	return unanswered >= slashFewest && 2*late > unanswered
}
