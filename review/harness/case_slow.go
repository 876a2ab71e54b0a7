package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// slowReader: clients on kept connections pause while they read an answer.
func slowReader(w *world) bool {
	const (
		answerBytes = 1_000_000
		readFirst   = 64 << 10
		pause       = 2 * time.Second
		slowClients = 8
		rounds      = 4
		allowed     = 3
	)
	front := w.addNode("sidecar-a-1", "front", "zone-a")
	back := w.addNode("sidecar-b-1", "back", "zone-b")
	w.putConfig(3, []route{{Name: "r-1", Host: host, Prefix: "/report/", Kind: "download", Service: "back", Timeout: 10 * time.Second, Target: 2 * time.Second, Public: true, Attempts: 2}}, nil, "front", "back")
	w.startNodes()
	w.addEndpoint(front, "i-front", 20, 20*time.Millisecond)
	app := w.addEndpoint(back, "i-back", 50, 0)
	app.handle = func(rw http.ResponseWriter, _ *http.Request, id string) {
		rw.Header().Set("Server-Stamp", app.id+"."+id)
		rw.Header().Set("Content-Length", fmt.Sprint(answerBytes))
		n, err := rw.Write(make([]byte, answerBytes))
		w.logf("i-back has handed out %d of %d bytes of its answer to %s: %v", n, answerBytes, id, err)
	}
	w.settle()
	var clients sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for c := range slowClients {
		clients.Go(func() {
			var conn net.Conn
			var in *bufio.Reader
			for i := range rounds * 2 {
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", front.outbound); err != nil {
						unable("%v", err)
					}
					in = bufio.NewReader(conn)
				}
				id := fmt.Sprintf("q%d-%d", c, i)
				w.logf("client sends %s on its kept connection", id)
				_, _ = fmt.Fprintf(conn, "GET /report/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 10000\r\n\r\n", host, id)
				res, err := http.ReadResponse(in, nil)
				if err != nil {
					unable("no answer to %s: %v", id, err)
				}
				n, _ := io.CopyN(io.Discard, res.Body, readFirst)
				if trouble() && i%2 == 1 { // the first answer on each connection is read at once
					time.Sleep(pause)
				}
				m, err := io.Copy(io.Discard, res.Body)
				w.logf("client gets %d and %d of %d bytes of the answer to %s: %v", res.StatusCode, n+m, answerBytes, id, err)
				if err != nil {
					mu.Lock()
					lost++
					mu.Unlock()
					_ = conn.Close()
					conn = nil
				}
			}
			if conn != nil {
				_ = conn.Close()
			}
		})
	}
	clients.Wait()
	w.logf("kept connections that %s closed without a complete answer: %d", front.name, lost)
	return lost > allowed
}
