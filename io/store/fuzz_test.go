package store

import (
	"testing"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/member"
)

// FuzzEntry decodes an arbitrary entry under the prefix and passes it to the reducer, which
// must not panic.
func FuzzEntry(f *testing.F) {
	for _, key := range oddKeys {
		for _, value := range oddValues {
			if len(value) < 1000 {
				f.Add(key, []byte(value))
			}
		}
	}
	l := NewLayout("shelf/")
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		now := time.Unix(1000, 0)
		s := core.New(core.Settings{Self: member.Member{Name: "self", Service: "maps", Domain: "d"}, PlannedAdmission: true, ElectWatchers: true})
		e, err := l.decodeEvent(Change{Key: l.Prefix + key, Value: value})
		if err != nil || e == nil {
			return
		}
		s.Step(now, e)
		s.Step(now.Add(time.Second), &core.Tick{})
	})
}
