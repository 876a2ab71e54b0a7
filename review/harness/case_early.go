package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// pattern returns n bytes. Each group of eight holds its own offset.
func pattern(n int) []byte {
	out := make([]byte, (n+7)/8*8)
	for i := 0; i < n; i += 8 {
		binary.BigEndian.PutUint64(out[i:], uint64(i))
	}
	return out[:n]
}

// firstWrong returns the first offset at which bytes of a body, which start at an offset of
// it, differ from the pattern, or -1.
func firstWrong(p []byte, offset int) int {
	for i := range p {
		at := offset + i
		var group [8]byte
		binary.BigEndian.PutUint64(group[:], uint64(at/8*8))
		if p[i] != group[at%8] {
			return at
		}
	}
	return -1
}

// earlyAnswer: one of two endpoints gives every 20th answer before it has read the whole
// body, keeps the connection and reads on.
func earlyAnswer(w *world) bool {
	const (
		uploadBytes = 400_000
		answerBytes = 200_000
		piece       = 16 << 10
		pace        = 2 * time.Millisecond // between pieces: a link with a delay and a small window
		earlyEvery  = 20                   // x = 0.05 of the answers
		duration    = 45 * time.Second
		interval    = 40 * time.Millisecond
	)
	front := w.addNode("sidecar-a-1", "front", "zone-a")
	backs := []*node{w.addNode("sidecar-a-2", "back", "zone-a"), w.addNode("sidecar-b-1", "back", "zone-b")}
	w.putConfig(3, []route{{Name: "r-1", Host: host, Prefix: "/order/", Kind: "unsafe", Service: "back", Timeout: 5 * time.Second, Target: 2 * time.Second, Public: true, Attempts: 2}}, nil, "front", "back")
	w.startNodes()
	w.addEndpoint(front, "i-front", 20, 20*time.Millisecond)
	var early, changed, whole atomic.Int64
	for i, n := range backs {
		e := w.addEndpoint(n, fmt.Sprintf("i-back-%d", i), 8, 0)
		spoils := trouble() && i == 0 // share 0.5 of the endpoints
		var count atomic.Int64
		e.handle = func(rw http.ResponseWriter, r *http.Request, id string) {
			answer := func() {
				rw.Header().Set("Server-Stamp", e.id+"."+id)
				rw.Header().Set("Content-Length", fmt.Sprint(answerBytes))
				for left := answerBytes; left > 0; left -= piece {
					if _, err := rw.Write(make([]byte, min(left, piece))); err != nil {
						w.logf("%s: the answer to %s can't be written: %v", e.id, id, err)
						return
					}
					_ = http.NewResponseController(rw).Flush()
					time.Sleep(pace)
				}
			}
			at, wrong := 0, -1
			var end error
			read := func(limit int) {
				block := make([]byte, piece)
				for at < limit && end == nil {
					var n int
					n, end = r.Body.Read(block)
					if wrong < 0 {
						wrong = firstWrong(block[:n], at)
					}
					at += n
				}
			}
			if spoils && count.Add(1)%earlyEvery == 0 {
				if err := http.NewResponseController(rw).EnableFullDuplex(); err != nil {
					unable("%v", err)
				}
				early.Add(1)
				read(64 << 10)
				w.logf("%s answers %s before it has read its body, keeps the connection and reads on", e.id, id)
				answer()
				read(2 * uploadBytes)
			} else {
				read(2 * uploadBytes)
				answer()
			}
			if wrong >= 0 {
				changed.Add(1)
				if end == io.EOF {
					whole.Add(1)
				}
				w.logf("%s: the body of %s has other bytes from offset %d on; it ends after %d of %d bytes: %v", e.id, id, wrong, at, uploadBytes, end)
			}
		}
	}
	w.settle()
	var clients sync.WaitGroup
	body := pattern(uploadBytes)
	start := time.Now()
	for i := 0; time.Since(start) < duration; i++ {
		clients.Go(func() {
			w.upload(front, request{id: fmt.Sprintf("q%04d", i), method: "POST", host: host, path: "/order/1", body: body, deadline: 5 * time.Second}, piece*2, pace)
		})
		time.Sleep(interval)
	}
	clients.Wait()
	w.logf("answers before the body was read: %d; requests with other bytes in their body at the endpoint: %d, of which the body seemed whole: %d", early.Load(), changed.Load(), whole.Load())
	return changed.Load() > 0
}
