package manifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxEncodingBytes bounds the encoding of a manifest. The store's values have at most 1 MiB,
	// in which most keys take 6 bytes at least and workspaces 8; they take 32 and 46 here.
	MaxEncodingBytes = 8 << 20
	// encodingFormat is the first byte of an encoding.
	encodingFormat = 1
)

// errEncoding reports bytes that are no encoding of a manifest.
var errEncoding = errors.New("malformed encoding of a manifest")

// Compiled is a valid manifest with the tables for its use and the encoding in which nodes pass
// it on. It does not change.
type Compiled struct {
	// Versioned is the manifest. Its workspaces list no keys.
	Versioned
	matcher  *Matcher
	keys     *keyTable
	encoding []byte // the key table refers to its digests
	checksum uint64
}

// Compile validates a manifest and compiles it. If it is not valid, the error is a
// ValidationError.
func Compile(v Versioned) (*Compiled, error) {
	if violations := v.Manifest.Validate(); len(violations) > 0 {
		return nil, &ValidationError{File: "manifest", Violations: violations}
	}
	encoding, err := encode(v)
	if err != nil {
		return nil, err
	}
	return Decode(encoding)
}

// encode returns the encoding of a manifest: the manifest without its keys in JSON, the number of
// keys of each workspace, and their digests. Nodes do not need the names of keys.
func encode(v Versioned) ([]byte, error) {
	workspaces := v.Manifest.Workspaces
	v.Manifest.Workspaces = slices.Clone(workspaces)
	keys := 0
	for i := range workspaces {
		v.Manifest.Workspaces[i].Keys = nil
		keys += len(workspaces[i].Keys)
	}
	var document bytes.Buffer
	encoder := json.NewEncoder(&document)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		return nil, fmt.Errorf("encode manifest: %w", err)
	}
	out := make([]byte, 0, 1+(1+len(workspaces))*binary.MaxVarintLen32+document.Len()+keys*sha256.Size)
	out = append(out, encodingFormat)
	out = binary.AppendUvarint(out, uint64(document.Len()))
	out = append(out, document.Bytes()...)
	for i := range workspaces {
		out = binary.AppendUvarint(out, uint64(len(workspaces[i].Keys)))
	}
	for i := range workspaces {
		for j := range workspaces[i].Keys {
			out = append(out, workspaces[i].Keys[j].Digest[:]...)
		}
	}
	if len(out) > MaxEncodingBytes {
		return nil, fmt.Errorf("encoding of the manifest has %d bytes, the maximum is %d", len(out), MaxEncodingBytes)
	}
	return out, nil
}

// Decode compiles the manifest with the given encoding, which must not change afterwards.
func Decode(encoding []byte) (*Compiled, error) {
	if len(encoding) > MaxEncodingBytes || len(encoding) == 0 || encoding[0] != encodingFormat {
		return nil, fmt.Errorf("%w: %d bytes", errEncoding, len(encoding))
	}
	c := &Compiled{encoding: encoding, checksum: xxhash.Sum64(encoding)}
	rest := bytes.NewReader(encoding[1:])
	if err := c.decodeDocument(rest); err != nil {
		return nil, err
	}
	if err := c.decodeKeys(rest); err != nil {
		return nil, err
	}
	c.matcher = NewMatcher(c.Manifest.Routes)
	return c, nil
}

// decodeDocument decodes the manifest without its keys.
func (c *Compiled) decodeDocument(r *bytes.Reader) error {
	length, err := binary.ReadUvarint(r)
	if err != nil || length > uint64(r.Len()) {
		return fmt.Errorf("%w: document of %d bytes", errEncoding, length)
	}
	start := len(c.encoding) - r.Len()
	if err := json.Unmarshal(c.encoding[start:start+int(length)], &c.Versioned); err != nil {
		return fmt.Errorf("%w: %w", errEncoding, err)
	}
	for i := range c.Manifest.Workspaces {
		if len(c.Manifest.Workspaces[i].Keys) > 0 {
			return fmt.Errorf("%w: workspace %d lists keys in the document", errEncoding, i)
		}
	}
	if violations := c.Manifest.Validate(); len(violations) > 0 {
		return &ValidationError{File: "manifest", Violations: violations}
	}
	_, err = r.Seek(int64(length), io.SeekCurrent)
	return err
}

// decodeKeys reads the numbers of keys and builds the table of their digests.
func (c *Compiled) decodeKeys(r *bytes.Reader) error {
	ends := make([]uint32, len(c.Manifest.Workspaces))
	sum := uint64(0)
	for i := range ends {
		n, err := binary.ReadUvarint(r)
		if err != nil || n > MaxEncodingBytes/sha256.Size {
			return fmt.Errorf("%w: workspace %d has %d keys", errEncoding, i, n)
		}
		sum += n
		ends[i] = uint32(min(sum, MaxEncodingBytes))
	}
	if uint64(r.Len()) != sum*sha256.Size {
		return fmt.Errorf("%w: %d bytes for %d keys", errEncoding, r.Len(), sum)
	}
	keys, err := newKeyTable(c.encoding[len(c.encoding)-r.Len():], ends)
	if err != nil {
		return fmt.Errorf("%w: %w", errEncoding, err)
	}
	c.keys = keys
	return nil
}

// Encoding returns the encoding, which must not be changed.
func (c *Compiled) Encoding() []byte { return c.encoding }

// Checksum returns the XXH64 checksum of the encoding.
func (c *Compiled) Checksum() uint64 { return c.checksum }

// Matcher returns the matcher of the routes.
func (c *Compiled) Matcher() *Matcher { return c.matcher }

// Owner returns the workspace of the key with a digest, or nil.
func (c *Compiled) Owner(d Digest) *Workspace {
	if i := c.keys.owner(d); i >= 0 {
		return &c.Manifest.Workspaces[i]
	}
	return nil
}

// HasKey reports whether a workspace has a key with the digest.
func (c *Compiled) HasKey(d Digest) bool { return c.keys.owner(d) >= 0 }

// Expand returns the manifest with its keys, which are named by their numbers.
func (c *Compiled) Expand() Versioned {
	v := c.Versioned
	v.Manifest.Workspaces = slices.Clone(v.Manifest.Workspaces)
	for i := range v.Manifest.Workspaces {
		w := &v.Manifest.Workspaces[i]
		for digests := c.keys.keysOf(i); len(digests) > 0; digests = digests[sha256.Size:] {
			w.Keys = append(w.Keys, Key{Name: strconv.Itoa(len(w.Keys)), Digest: Digest(digests[:sha256.Size])})
		}
	}
	return v
}
