package relay

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

const (
	// blockBytes is the size of the blocks in which a streamed body is buffered.
	blockBytes = 32 << 10
	// maxBufferedBlocks limits how far a streamed body is read ahead of the target.
	maxBufferedBlocks = 2
)

var (
	// errStopped is returned for a body whose call has ended.
	errStopped = errors.New("the call has ended")
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
type stream struct {
	source   io.Reader
	finished chan struct{} // closed when the source has been read to its end or has failed
	progress chan struct{} // receives a value when bytes have been passed on or discarded
	readable chan struct{} // receives a value when bytes or an error have been added
	writable chan struct{} // receives a value when a block has been freed
	stopped  chan struct{} // closed when the call has ended

	mu       sync.Mutex
	queue    []block
	reader   *streamReader // of the last attempt
	taken    bool          // a reader has read from the stream
	err      error         // of the source
	ended    bool          // run has returned
	discards bool          // the rest of the body is read and not kept
}

// newStream returns a stream that reads from a source once run is called.
func newStream(source io.Reader) *stream {
	signal := func() chan struct{} { return make(chan struct{}, 1) }
	return &stream{
		source: source, finished: make(chan struct{}), stopped: make(chan struct{}),
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
		data, offset, ok := s.awaitRoom()
		if !ok {
			return
		}
		n, err := s.source.Read(data[offset:])
		s.add(n, err)
		if err != nil {
			return
		}
	}
}

// awaitRoom waits until the last block has room for further bytes and returns that block and the
// offset of its free part. It returns false once the call has ended.
func (s *stream) awaitRoom() (*[blockBytes]byte, int, bool) {
	for {
		s.mu.Lock()
		data, offset := s.room()
		s.mu.Unlock()
		if s.isStopped() {
			return nil, 0, false
		}
		if data != nil {
			return data, offset, true
		}
		select {
		case <-s.writable:
		case <-s.stopped:
			return nil, 0, false
		}
	}
}

// room returns the block to read into, or nil if the buffer is full.
func (s *stream) room() (*[blockBytes]byte, int) {
	if n := len(s.queue); n > 0 {
		last := &s.queue[n-1]
		if last.start == last.end {
			last.start, last.end = 0, 0
		}
		if last.end < blockBytes {
			return last.data, last.end
		}
	}
	if len(s.queue) >= maxBufferedBlocks {
		return nil, 0
	}
	s.queue = append(s.queue, block{data: blocks.Get().(*[blockBytes]byte)})
	return s.queue[len(s.queue)-1].data, 0
}

// add records the result of reading into the last block.
func (s *stream) add(n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.discards {
		notify(s.progress)
	} else {
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
			blocks.Put(b.data)
			s.queue = append(s.queue[:0], s.queue[1:]...)
			notify(s.writable)
		}
	}
	if n == 0 {
		return 0, s.err
	}
	s.taken, reader.began = true, true
	notify(s.progress)
	return n, nil
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
