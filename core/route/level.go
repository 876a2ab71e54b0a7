package route

import (
	"time"

	"celeryshelf/core/admit"
)

const (
	levelSmoothing = 0.5
	// A level that no answer confirms is held for levelHold, then fades to
	// nothing over levelFade, so that a healed path reopens by itself.
	levelHold  = 300 * time.Millisecond
	levelDecay = 700 * time.Millisecond
	// anyWorkspace keys the level of a route over all workspaces, for those that
	// have had no answer of late.
	anyWorkspace = "*"
)

type levelKey struct {
	route     string
	workspace string
}

type levelState struct {
	level      float64
	observedAt time.Time
}

// Levels remembers, for calls entering here, the highest admission level that
// any hop of a route's tree reported for a workspace.
type Levels struct {
	states map[levelKey]*levelState
}

// NewLevels returns a memory with nothing learned.
func NewLevels() *Levels { return &Levels{states: map[levelKey]*levelState{}} }

// Observe takes in the level that an answer carried.
func (l *Levels) Observe(now time.Time, route, workspace string, level admit.Level) {
	l.observe(now, levelKey{route, workspace}, level)
	l.observe(now, levelKey{route, anyWorkspace}, level)
}

func (l *Levels) observe(now time.Time, key levelKey, level admit.Level) {
	s, ok := l.states[key]
	if !ok {
		if level == 0 {
			return
		}
		s = &levelState{}
		l.states[key] = s
	}
	s.level += levelSmoothing * (float64(level) - s.level)
	s.observedAt = now
}

// Level returns the level in force for a route and workspace.
func (l *Levels) Level(now time.Time, route, workspace string) admit.Level {
	if s, ok := l.states[levelKey{route, workspace}]; ok && now.Sub(s.observedAt) <= levelHold {
		return admit.Level(s.level)
	}
	s, ok := l.states[levelKey{route, anyWorkspace}]
	if !ok {
		return 0
	}
	left := min(1, 1-float64(now.Sub(s.observedAt)-levelHold)/float64(levelDecay))
	return admit.Level(max(0, left) * s.level)
}

// RemoveExpired forgets levels that have faded.
func (l *Levels) RemoveExpired(now time.Time) {
	for key, s := range l.states {
		if now.Sub(s.observedAt) > levelHold+levelDecay {
			delete(l.states, key)
		}
	}
}
