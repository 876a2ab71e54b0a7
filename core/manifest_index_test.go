package core

import "celeryshelf/core/manifest"

// compiled returns a compiled manifest, which must be valid.
func compiled(v manifest.Versioned) *manifest.Compiled {
	c, err := manifest.Compile(v)
	if err != nil {
		panic(err)
	}
	return c
}
