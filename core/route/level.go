package route

import (
	"time"

	"celeryshelf/core/admit"
)

const (
	levelWeight = 0.2
	// A level that no answer confirms is held for levelHold, then fades to
	// nothing over levelFade, so that a healed path reopens by itself.
	levelHold = 500 * time.Millisecond
	levelFade = 1 * time.Second
)

type levelKey struct {
	route     string
	workspace string
}

type levelState struct {
	level float64
	heard time.Time
}

// Levels remembers, for calls entering here, the highest admission level that
// any hop of a route's tree reported for a workspace.
type Levels struct {
	heard map[levelKey]*levelState
}

// NewLevels returns a memory with nothing learned.
func NewLevels() *Levels { return &Levels{heard: map[levelKey]*levelState{}} }

// Learn takes in the level that an answer carried.
func (l *Levels) Learn(now time.Time, route, workspace string, level admit.Level) {
	key := levelKey{route, workspace}
	s, ok := l.heard[key]
	if !ok {
		if level == 0 {
			return
		}
		s = &levelState{}
		l.heard[key] = s
	}
	s.level += levelWeight * (float64(level) - s.level)
	s.heard = now
}

// Level returns the level in force for a route and workspace.
func (l *Levels) Level(now time.Time, route, workspace string) admit.Level {
	s, ok := l.heard[levelKey{route, workspace}]
	if !ok {
		return 0
	}
	age := now.Sub(s.heard)
	if age <= levelHold {
		return admit.Level(s.level)
	}
	left := 1 - float64(age-levelHold)/float64(levelFade)
	return admit.Level(max(0, left) * s.level)
}

// Sweep forgets levels that have faded.
func (l *Levels) Sweep(now time.Time) {
	for key, s := range l.heard {
		if now.Sub(s.heard) > levelHold+levelFade {
			delete(l.heard, key)
		}
	}
}
