package agent

import (
	"celeryshelf/core"
	"celeryshelf/core/manifest"
	"celeryshelf/internal/control"
)

// manifestDecoder decodes the manifests that peers send, each in a goroutine of its own. The
// reducer requests one at a time.
type manifestDecoder struct {
	loop *control.Loop
}

// Decode implements control.ManifestDecoder.
func (d *manifestDecoder) Decode(encoding []byte) {
	go func() {
		m, err := manifest.Decode(encoding)
		if err != nil {
			d.loop.Post(&core.ManifestDecoded{Error: manifest.Summary(err)})
			return
		}
		d.loop.Post(&core.ManifestDecoded{Manifest: m})
	}()
}
