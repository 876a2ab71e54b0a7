package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"celeryshelf/io/http1"
	"celeryshelf/io/store"
)

const (
	callTimeout = 1 * time.Second
	dialTimeout = 500 * time.Millisecond
	// maxCallsPerSecond and maxCallBurst limit the calls that one node makes under all
	// conditions, retries included.
	maxCallsPerSecond = 20
	maxCallBurst      = 40
	// maxResponseBytes limits a response, and one message of a watch.
	maxResponseBytes = 16 << 20
	maxHeaderBytes   = 64 << 10
)

// Config holds the parameters of a Client.
type Config struct {
	Addresses []netip.AddrPort
}

// Client makes calls to the store. After a request that fails or returns an error
// status, the next request goes to the next address.
type Client struct {
	Config
	http         *http.Client
	limiter      *rate.Limiter
	addressIndex atomic.Uint32
	calls        atomic.Uint64
}

// NewClient returns a client.
func NewClient(c Config) *Client {
	return &Client{
		Config:  c,
		limiter: rate.NewLimiter(maxCallsPerSecond, maxCallBurst),
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     time.Minute,

			MaxResponseHeaderBytes: maxHeaderBytes,
		}},
	}
}

// Calls returns the number of requests sent so far.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Range returns the pairs under a prefix and the revision at which they were read.
func (c *Client) Range(ctx context.Context, prefix string) ([]store.KeyValue, int64, error) {
	var out rangeResponse
	err := c.call(ctx, "kv/range", rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}, &out)
	pairs := make([]store.KeyValue, 0, len(out.KVs))
	for _, p := range out.KVs {
		pairs = append(pairs, p.toStore())
	}
	return pairs, out.Header.Revision, err
}

// Get returns the pair of a key, or nil if there is none.
func (c *Client) Get(ctx context.Context, key string) (*store.KeyValue, error) {
	var out rangeResponse
	if err := c.call(ctx, "kv/range", rangeRequest{Key: []byte(key)}, &out); err != nil {
		return nil, err
	}
	if len(out.KVs) == 0 {
		return nil, nil
	}
	p := out.KVs[0].toStore()
	return &p, nil
}

// Put writes a value under a lease, or without one if lease is 0.
func (c *Client) Put(ctx context.Context, key string, value []byte, lease int64) error {
	return c.call(ctx, "kv/put", putRequest{Key: []byte(key), Value: value, Lease: lease}, nil)
}

// CompareAndSwap writes a value, under a lease unless lease is 0, if the last write of
// the key was at the given revision. Revision 0 means that the key must not exist. It
// reports whether it wrote the value.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, lease int64) (bool, error) {
	return c.Commit(ctx, []store.Write{{Key: key, Value: value, Revision: revision}}, lease)
}

// Commit makes all writes under a lease if the conditions of all of them are met, and reports
// whether it did.
func (c *Client) Commit(ctx context.Context, writes []store.Write, lease int64) (bool, error) {
	var req txnRequest
	absent := func(key string) compare {
		var zero int64
		return compare{Key: []byte(key), Target: targetCreate, Result: resultEqual, CreateRevision: &zero}
	}
	for _, w := range writes {
		if w.Revision == 0 {
			req.Compare = append(req.Compare, absent(w.Key))
		} else {
			req.Compare = append(req.Compare, compare{Key: []byte(w.Key), Target: targetMod, Result: resultEqual, ModRevision: &w.Revision})
		}
		for _, key := range w.Absent {
			req.Compare = append(req.Compare, absent(key))
		}
		req.Success = append(req.Success, requestOp{Put: &putRequest{Key: []byte(w.Key), Value: w.Value, Lease: lease}})
	}
	return c.txn(ctx, req)
}

// CompareAndDelete deletes a key that holds exactly the given value and reports whether
// it did.
func (c *Client) CompareAndDelete(ctx context.Context, key string, value []byte) (bool, error) {
	return c.txn(ctx, txnRequest{
		Compare: []compare{{Key: []byte(key), Target: targetValue, Result: resultEqual, Value: value}},
		Success: []requestOp{{Delete: &deleteRequest{Key: []byte(key)}}},
	})
}

func (c *Client) txn(ctx context.Context, req txnRequest) (bool, error) {
	var out txnResponse
	err := c.call(ctx, "kv/txn", req, &out)
	return out.Succeeded, err
}

// Grant creates a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var out leaseResponse
	err := c.call(ctx, "lease/grant", leaseRequest{TTL: int64(ttl / time.Second)}, &out)
	return out.ID, err
}

// KeepAlive renews a lease and returns its time to live, 0 if it has expired.
func (c *Client) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	var out keepAliveResponse
	err := c.call(ctx, "lease/keepalive", leaseRequest{ID: lease}, &out)
	return time.Duration(out.Result.TTL) * time.Second, err
}

// Revoke revokes a lease and deletes the keys under it.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	return c.call(ctx, "lease/revoke", leaseRequest{ID: lease}, nil)
}

// Watch reports the changes under a prefix, starting at a revision, until the context
// is done or the stream breaks. It ignores the batch delay, because batching on a
// stream saves no responses.
func (c *Client) Watch(ctx context.Context, prefix string, startRevision int64, _ time.Duration, report func(change store.Change, revision int64)) error {
	req := watchRequest{Create: watchCreateRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: startRevision}}
	res, err := c.post(ctx, "watch", req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	body := &messageReader{Reader: res.Body}
	dec := json.NewDecoder(body)
	for {
		body.remaining = maxResponseBytes
		var out watchResponse
		if err := dec.Decode(&out); err != nil {
			return fmt.Errorf("read watch: %w", err)
		}
		if out.Result.Canceled {
			return errors.New("watch canceled by the store")
		}
		for _, e := range out.Result.Events {
			report(store.Change{Key: string(e.KV.Key), Value: e.KV.Value, Deleted: e.Type == eventDelete}, out.Result.Header.Revision)
		}
	}
}

// call posts a request and decodes the response into out, unless out is nil.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.post(ctx, path, in)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	if len(body) > maxResponseBytes {
		return fmt.Errorf("response to %s has more than %d bytes", path, maxResponseBytes)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}

// post sends a request to the current address and moves on to the next address if that
// fails. The caller must close the body of the response.
func (c *Client) post(ctx context.Context, path string, in any) (*http.Response, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("call %s: %w", path, err)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", path, err)
	}
	address := c.Addresses[int(c.addressIndex.Load())%len(c.Addresses)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v3/"+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build %s: %w", path, err)
	}
	c.calls.Add(1)
	res, err := c.http.Do(req)
	if err != nil {
		c.addressIndex.Add(1)
		return nil, fmt.Errorf("call %s: %w", path, err)
	}
	err = http1.CheckFields(res.Header)
	if res.StatusCode != http.StatusOK {
		err = fmt.Errorf("store returned status %s", res.Status)
	}
	if err != nil {
		c.addressIndex.Add(1)
		_ = res.Body.Close()
		return nil, fmt.Errorf("call %s: %w", path, err)
	}
	return res, nil
}

// prefixEnd returns the first key after all keys that start with the prefix. The key
// "\x00" stands for the end of the key space.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// messageReader limits the bytes that are read for one message of a watch.
type messageReader struct {
	io.Reader
	remaining int
}

// Read reads from the response. It fails once a message exceeds maxResponseBytes.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, fmt.Errorf("message of a watch has more than %d bytes", maxResponseBytes)
	}
	n, err := r.Reader.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}
