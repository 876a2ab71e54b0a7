package manifest

import (
	"fmt"
	"testing"
)

// BenchmarkDecode measures what a node does with a manifest of 150,000 keys from a peer.
func BenchmarkDecode(b *testing.B) {
	c, err := Compile(compiledExample(150_000))
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(c.Encoding())))
	for b.Loop() {
		if _, err := Decode(c.Encoding()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkOwner measures the lookup of a key among 150,000.
func BenchmarkOwner(b *testing.B) {
	c, err := Compile(compiledExample(150_000))
	if err != nil {
		b.Fatal(err)
	}
	d := DigestOf(fmt.Sprint(0, "/", 77))
	for b.Loop() {
		c.Owner(d)
	}
}
