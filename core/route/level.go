package route

import (
	"time"

	"celeryshelf/core/admit"
)

const (
	levelWeight = 0.5
	// A level that no answer confirms is held for levelHold, then fades to
	// nothing over levelFade, so that a healed path reopens by itself.
	levelHold = 300 * time.Millisecond
	levelFade = 700 * time.Millisecond
	// anyWorkspace keys the level of a route over all workspaces, for those that
	// have had no answer of late.
	anyWorkspace = "*"
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

// Observe takes in the level that an answer carried.
func (l *Levels) Observe(now time.Time, route, workspace string, level admit.Level) {
	l.learn(now, levelKey{route, workspace}, level)
	l.learn(now, levelKey{route, anyWorkspace}, level)
}

func (l *Levels) learn(now time.Time, key levelKey, level admit.Level) {
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
	if s, ok := l.heard[levelKey{route, workspace}]; ok && now.Sub(s.heard) <= levelHold {
		return admit.Level(s.level)
	}
	s, ok := l.heard[levelKey{route, anyWorkspace}]
	if !ok {
		return 0
	}
	left := min(1, 1-float64(now.Sub(s.heard)-levelHold)/float64(levelFade))
	return admit.Level(max(0, left) * s.level)
}

// RemoveExpired forgets levels that have faded.
func (l *Levels) RemoveExpired(now time.Time) {
	for key, s := range l.heard {
		if now.Sub(s.heard) > levelHold+levelFade {
			delete(l.heard, key)
		}
	}
}
