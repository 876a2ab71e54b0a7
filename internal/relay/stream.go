package relay

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// blockBytes is the size of the blocks in which a streamed body is buffered.
	blockBytes = 32 << 10
	// minBlocks is how many blocks each stream may have, apart from the shared budget.
	minBlocks = 2
	// senderCheckInterval is how often a stream that reads no further checks whether its sender
	// has left. The bound on the time to detect that is 500 ms.
	senderCheckInterval = 200 * time.Millisecond
	// maxStreamShare is the part of the budget that one stream may use, as a divisor.
	maxStreamShare = 4
	// DefaultReadAheadBytes is the budget if Config.ReadAheadBytes is 0.
	DefaultReadAheadBytes = 16 << 20
)

// readAhead limits the bytes that all streams of a relay buffer beyond minBlocks.
type readAhead struct {
	total int64
	used  atomic.Int64
}

// acquire takes a block from the budget and reports whether there was one left.
func (r *readAhead) acquire() bool {
	if r.used.Add(blockBytes) <= r.total {
		return true
	}
	r.used.Add(-blockBytes)
	return false
}

func (r *readAhead) release(blocks int) { r.used.Add(-int64(blocks) * blockBytes) }

var (
	// errStopped is returned for a body whose call has ended.
	errStopped = errors.New("the call has ended")
	// errSenderLeft is returned for a body whose sender has closed its connection.
	errSenderLeft = errors.New("the sender has closed its connection")
	// errConsumed is returned for a body of which an earlier attempt has read a part.
	errConsumed = errors.New("an earlier attempt has read from the body")
)

// blocks pools the buffers of streams.
var blocks = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// block is a part of a body: the bytes from start up to end have been read from the sender and
// not yet by the target.
type block struct {
	data       *[blockBytes]byte
	start, end int
}

// stream is a request body that is passed on while it arrives. Its run method is the only reader
// of the sender's bytes, and the reader of the last attempt the only one of the stream.
//
// It reads ahead of the target, from the moment at which the request arrives: the server detects
// that a sender has left only once it reads the body to its end or to an error. Where the buffer
// is full, the state of the connection is checked instead, which shows an end that has arrived
// behind unread bytes.
type stream struct {
	source   io.Reader
	config   streamConfig
	finished chan struct{} // closed when the source has been read to its end or has failed
	progress chan struct{} // receives a value when bytes have been passed on or discarded
	readable chan struct{} // receives a value when bytes or an error have been added
	writable chan struct{} // receives a value when a block has been freed
	stopped  chan struct{} // closed when the call has ended

	mu       sync.Mutex
	queue    []block
	reader   *streamReader // of the last attempt
	taken    bool          // a reader has read from the stream
	charged  int           // blocks taken from the budget
	err      error         // of the source
	ended    bool          // run has returned
	discards bool          // the rest of the body is read and not kept
}

// streamConfig holds the dependencies and parameters of a stream.
type streamConfig struct {
	budget *readAhead
	// onRequest delays reading until an attempt reads from the stream or the rest is discarded: the
	// sender waits to be asked for the body.
	onRequest bool
	// senderLeft reports whether the sender has closed its connection.
	senderLeft func() bool
	// failed is called if the body breaks off.
	failed func()
}

// newStream returns a stream that reads from a source once run is called.
func newStream(source io.Reader) *stream {
	signal := func() chan struct{} { return make(chan struct{}, 1) }
	return &stream{
		source: source, config: streamConfig{budget: &readAhead{}, senderLeft: func() bool { return false }, failed: func() {}}, finished: make(chan struct{}), stopped: make(chan struct{}),
		progress: signal(), readable: signal(), writable: signal(),
	}
}

// notify sends a value unless one is waiting to be received.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run reads the source until it ends or fails or the call has ended.
func (s *stream) run() {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended = true
		s.release()
		close(s.finished)
	}()
	for {
		data, offset, err := s.awaitRoom()
		n := 0
		if err == nil {
			n, err = s.source.Read(data[offset:])
		}
		s.add(n, err)
		if err != nil {
			s.reportFailure(err)
			return
		}
	}
}

// reportFailure reports a body that has broken off, and not one that is complete or too large.
func (s *stream) reportFailure(err error) {
	var large *http.MaxBytesError
	if !errors.Is(err, io.EOF) && !errors.As(err, &large) && !s.isStopped() {
		s.config.failed()
	}
}

// awaitRoom waits until the last block has room for further bytes and returns that block and the
// offset of its free part. It returns an error once the call has ended or the sender has left.
func (s *stream) awaitRoom() (*[blockBytes]byte, int, error) {
	var check *time.Ticker
	for {
		s.mu.Lock()
		data, offset := s.room()
		s.mu.Unlock()
		if s.isStopped() {
			return nil, 0, errStopped
		}
		if data != nil {
			return data, offset, nil
		}
		if check == nil {
			check = time.NewTicker(senderCheckInterval)
			defer check.Stop()
		}
		select {
		case <-s.writable:
		case <-s.stopped:
		case <-check.C: // another stream may also have released a part of the budget
			if s.config.senderLeft() {
				return nil, 0, errSenderLeft
			}
		}
	}
}

// room returns the block to read into, or nil if the stream must not be read further for now.
func (s *stream) room() (*[blockBytes]byte, int) {
	if s.config.onRequest && s.reader == nil && !s.discards {
		return nil, 0
	}
	if n := len(s.queue); n > 0 {
		last := &s.queue[n-1]
		if last.start == last.end {
			last.start, last.end = 0, 0
		}
		if last.end < blockBytes {
			return last.data, last.end
		}
	}
	if len(s.queue) >= minBlocks {
		if int64(len(s.queue))*blockBytes >= s.config.budget.total/maxStreamShare || !s.config.budget.acquire() {
			return nil, 0
		}
		s.charged++
	}
	s.queue = append(s.queue, block{data: blocks.Get().(*[blockBytes]byte)})
	return s.queue[len(s.queue)-1].data, 0
}

// add records the result of reading into the last block.
func (s *stream) add(n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.discards:
		notify(s.progress)
	case n > 0:
		s.queue[len(s.queue)-1].end += n
	}
	s.err = err
	notify(s.readable)
}

// streamReader reads a stream for one attempt.
type streamReader struct {
	*stream
	began bool // it has read from the stream
}

// newReader returns the reader for an attempt and ends that of the attempt before.
func (s *stream) newReader() io.Reader {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = &streamReader{stream: s}
	notify(s.readable) // the reader before may wait
	notify(s.writable) // run may wait for a reader
	return s.reader
}

// Read returns bytes of the body in the order in which they arrived.
func (s *streamReader) Read(p []byte) (int, error) {
	for {
		n, err := s.take(s, p)
		if n > 0 || err != nil {
			return n, err
		}
		select {
		case <-s.readable:
		case <-s.stopped:
			return 0, errStopped
		}
	}
}

// take copies buffered bytes. It returns 0 and no error if there are none yet.
func (s *stream) take(reader *streamReader, p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.discards || s.isStopped():
		return 0, errStopped
	case reader != s.reader:
		notify(s.readable) // for the reader of the last attempt
		return 0, errConsumed
	case s.taken && !reader.began:
		return 0, errConsumed
	}
	n := 0
	for n < len(p) && len(s.queue) > 0 && s.queue[0].start < s.queue[0].end {
		b := &s.queue[0]
		m := copy(p[n:], b.data[b.start:b.end])
		b.start += m
		n += m
		if b.start == blockBytes {
			s.removeFirst()
		}
	}
	if n == 0 {
		return 0, s.err
	}
	s.taken, reader.began = true, true
	notify(s.progress)
	return n, nil
}

// removeFirst frees the first block, whose bytes have been read.
func (s *stream) removeFirst() {
	blocks.Put(s.queue[0].data)
	s.queue = append(s.queue[:0], s.queue[1:]...)
	if s.charged > 0 {
		s.charged--
		s.config.budget.release(1)
	}
	notify(s.writable)
}

// discard drops what is buffered and makes run read the rest of the body without keeping it.
func (s *stream) discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discards = true
	for i := range s.queue {
		s.queue[i].start, s.queue[i].end = 0, 0
	}
	notify(s.writable)
	notify(s.readable)
}

// stop ends the stream. A read of the source that is in progress may still return later.
func (s *stream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isStopped() {
		close(s.stopped)
	}
	s.release()
}

func (s *stream) isStopped() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}

// release frees the buffer once nothing reads or writes it any more.
func (s *stream) release() {
	if !s.ended || !s.isStopped() {
		return
	}
	for _, b := range s.queue {
		blocks.Put(b.data)
	}
	s.queue = nil
	s.config.budget.release(s.charged)
	s.charged = 0
}

// isComplete reports whether the source has been read to its end.
func (s *stream) isComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return errors.Is(s.err, io.EOF)
}

// isFinished reports whether the source has been read to its end or has failed.
func (s *stream) isFinished() bool {
	select {
	case <-s.finished:
		return true
	default:
		return false
	}
}

// limitedBody fails with an *http.MaxBytesError after limit bytes. Unlike http.MaxBytesReader it
// does not touch the response, which may be written while the body is read.
type limitedBody struct {
	io.Reader
	limit, left int64
}

// Read reads from the body.
func (l *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > l.left+1 {
		p = p[:l.left+1]
	}
	n, err := l.Reader.Read(p)
	if int64(n) > l.left {
		n, err = int(l.left), &http.MaxBytesError{Limit: l.limit}
	}
	l.left -= int64(n)
	return n, err
}
