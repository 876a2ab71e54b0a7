package route

import (
	"time"

	"celeryshelf/core/admit"
)

const (
	levelSmoothing = 0.5 // weight of the latest answer in the moving average
	// A level that no answer confirms stays for levelHold and then decays linearly to 0
	// over levelDecay, so that calls resume by themselves once the overload has ended.
	levelHold  = 300 * time.Millisecond
	levelDecay = 700 * time.Millisecond
	// anyWorkspace is the key of a route's level over all workspaces, which applies to
	// workspaces without a recent answer.
	anyWorkspace = "*"
)

type levelKey struct {
	route     string
	workspace string
}

type levelState struct {
	level      float64 // exponential moving average
	observedAt time.Time
}

// Levels tracks the admission level of each route and workspace, for calls that enter at
// this node. A level is a moving average of what answers report, which is the highest
// level of any hop in the route's call tree.
type Levels struct {
	states map[levelKey]*levelState
}

// NewLevels returns Levels without observations.
func NewLevels() *Levels { return &Levels{states: map[levelKey]*levelState{}} }

// Observe records the level that an answer carried.
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

// Level returns the level of a route for a workspace, or the route's level over all
// workspaces if the workspace has no observation within levelHold.
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

// RemoveExpired removes the levels that have decayed to 0.
func (l *Levels) RemoveExpired(now time.Time) {
	for key, s := range l.states {
		if now.Sub(s.observedAt) > levelHold+levelDecay {
			delete(l.states, key)
		}
	}
}
