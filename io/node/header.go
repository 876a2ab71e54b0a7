package node

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/admit"
)

// HeaderPrefix starts the name of every header that belongs to the system.
const HeaderPrefix = "Celery-"

// Headers between nodes.
const (
	headerTarget    = "Celery-Target"
	headerWorkspace = "Celery-Workspace"
	headerRoute     = "Celery-Route"
	headerFrom      = "Celery-From"
	headerRank      = "Celery-Rank"
	headerBudget    = "Celery-Budget"
	headerTimeout   = "Celery-Timeout"
	headerOnce      = "Celery-Once"
	headerRepeat    = "Celery-Repeat"
	headerLevel     = "Celery-Level"
	headerUnspent   = "Celery-Unspent"

	// HeaderReason and HeaderRan tell a caller why a call was refused and
	// whether it may have run.
	HeaderReason = "Celery-Reason"
	HeaderRan    = "Celery-Ran"
	// HeaderTimeout is the time that a caller allows, in Go's notation.
	HeaderTimeout = headerTimeout
)

// maxDepth bounds the depth of a call graph that the header can carry.
const maxDepth = 255

// SetPass writes what travels with a call into its headers.
func SetPass(h http.Header, p core.Pass) {
	h[headerTarget] = []string{p.Target}
	h[headerWorkspace] = []string{p.Workspace}
	h[headerRoute] = []string{p.Route}
	h[headerFrom] = []string{p.From}
	h[headerRank] = []string{formatRank(p.Rank)}
	h[headerBudget] = []string{strconv.Itoa(p.Budget)}
	h[headerTimeout] = []string{p.Timeout.String()}
	if p.Once {
		h[headerOnce] = []string{"1"}
	}
	if p.Repeat != 0 {
		h[headerRepeat] = []string{strconv.FormatUint(p.Repeat, 16)}
	}
}

// GetPass reads what SetPass wrote and names the first header that is malformed.
func GetPass(h http.Header) (core.Pass, error) {
	p := core.Pass{
		Target:    h.Get(headerTarget),
		Workspace: h.Get(headerWorkspace),
		Route:     h.Get(headerRoute),
		From:      h.Get(headerFrom),
		Once:      h.Get(headerOnce) == "1",
	}
	var err error
	if p.Rank, err = parseRank(h.Get(headerRank)); err != nil {
		return core.Pass{}, fmt.Errorf("header %s: %w", headerRank, err)
	}
	if p.Budget, err = strconv.Atoi(h.Get(headerBudget)); err != nil {
		return core.Pass{}, fmt.Errorf("header %s: %w", headerBudget, err)
	}
	if p.Timeout, err = time.ParseDuration(h.Get(headerTimeout)); err != nil {
		return core.Pass{}, fmt.Errorf("header %s: %w", headerTimeout, err)
	}
	if text := h.Get(headerRepeat); text != "" {
		if p.Repeat, err = strconv.ParseUint(text, 16, 64); err != nil {
			return core.Pass{}, fmt.Errorf("header %s: %w", headerRepeat, err)
		}
	}
	return p, nil
}

// formatRank writes class, depth and hash with dots between.
func formatRank(r admit.Rank) string {
	return strconv.Itoa(int(r.Class)) + "." + strconv.Itoa(int(r.Depth)) + "." + strconv.Itoa(int(r.Hash))
}

func parseRank(text string) (admit.Rank, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return admit.Rank{}, fmt.Errorf("rank %q has not three parts", text)
	}
	class, err := strconv.ParseUint(parts[0], 10, 8)
	if err != nil || class >= admit.Classes {
		return admit.Rank{}, fmt.Errorf("rank %q: class out of range", text)
	}
	depth, err := strconv.ParseUint(parts[1], 10, 8)
	if err != nil || depth > maxDepth {
		return admit.Rank{}, fmt.Errorf("rank %q: depth out of range", text)
	}
	hash, err := strconv.ParseUint(parts[2], 10, 16)
	if err != nil || hash >= admit.HashBuckets {
		return admit.Rank{}, fmt.Errorf("rank %q: hash out of range", text)
	}
	return admit.Rank{Class: uint8(class), Depth: uint8(depth), Hash: uint16(hash)}, nil
}

// Outcome is what a node reports with an answer or a refusal.
type Outcome struct {
	Level   admit.Level
	Unspent int
}

// SetOutcome writes an outcome into headers or, with http.TrailerPrefix, trailers.
func SetOutcome(h http.Header, prefix string, o Outcome) {
	h[prefix+headerLevel] = []string{strconv.Itoa(int(o.Level))}
	h[prefix+headerUnspent] = []string{strconv.Itoa(o.Unspent)}
}

// TakeOutcome reads an outcome and removes it. What is missing or malformed
// counts as nothing.
func TakeOutcome(h http.Header) Outcome {
	var o Outcome
	if level, err := strconv.ParseUint(h.Get(headerLevel), 10, 16); err == nil {
		o.Level = min(admit.Level(level), admit.MaxLevel)
	}
	if unspent, err := strconv.Atoi(h.Get(headerUnspent)); err == nil {
		o.Unspent = unspent
	}
	delete(h, headerLevel)
	delete(h, headerUnspent)
	return o
}

// Refusal reads a refusal of the node itself; ok is false for a target's answer.
func Refusal(h http.Header) (why core.Reason, ran core.Ran, ok bool) {
	name := h.Get(HeaderReason)
	if name == "" {
		return core.NoReason, core.RanUnknown, false
	}
	return core.ReasonOf(name), core.RanOf(h.Get(HeaderRan)), true
}
