package node

import (
	"fmt"
	"net/http"
	"net/url"
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
	headerCallContext    = "Celery-Pass"
	headerAdmissionLevel = "Celery-Level"
	headerUnspentRetries = "Celery-Unspent"
	headerLoad           = "Celery-Load" // calls at the target by its slots, in percent

	// HeaderReason and HeaderRan tell a caller why a call was refused and
	// whether it may have run.
	HeaderReason   = "Celery-Reason"
	HeaderExecuted = "Celery-Ran"
	// HeaderTimeout is the time that a caller allows, in Go's notation.
	HeaderTimeout = "Celery-Timeout"
)

// maxDepth bounds the depth of a call graph that the header can carry.
const maxDepth = 255

// Fields of a Pass in their header, separated by spaces. One header costs fewer bytes
// than one for each.
const (
	fieldEndpoint = iota
	fieldWorkspace
	fieldRoute
	fieldEntryService
	fieldRank
	fieldRetryBudget
	fieldTimeout
	fieldOnce
	fieldIdempotencyKey
	fieldCount
)

const onceFlag = "1"

// SetCallContext writes what travels with a call into a header.
func SetCallContext(h http.Header, p core.CallContext) {
	once := ""
	if p.AtMostOnce {
		once = onceFlag
	}
	fields := [fieldCount]string{
		fieldEndpoint:       url.QueryEscape(p.Endpoint),
		fieldWorkspace:      url.QueryEscape(p.Workspace),
		fieldRoute:          url.QueryEscape(p.Route),
		fieldEntryService:   url.QueryEscape(p.EntryService),
		fieldRank:           formatRank(p.Rank),
		fieldRetryBudget:    strconv.Itoa(p.RetryBudget),
		fieldTimeout:        p.Timeout.String(),
		fieldOnce:           once,
		fieldIdempotencyKey: strconv.FormatUint(p.IdempotencyHash, 16),
	}
	h[headerCallContext] = []string{strings.Join(fields[:], " ")}
}

// GetCallContext reads what SetPass wrote and names the first field that is malformed.
func GetCallContext(h http.Header) (core.CallContext, error) {
	fields := strings.Split(h.Get(headerCallContext), " ")
	if len(fields) != fieldCount {
		return core.CallContext{}, fmt.Errorf("header %s: has %d fields, want %d", headerCallContext, len(fields), fieldCount)
	}
	p := core.CallContext{AtMostOnce: fields[fieldOnce] == onceFlag}
	for _, f := range []struct {
		place int
		name  *string
	}{{fieldEndpoint, &p.Endpoint}, {fieldWorkspace, &p.Workspace}, {fieldRoute, &p.Route}, {fieldEntryService, &p.EntryService}} {
		var err error
		if *f.name, err = url.QueryUnescape(fields[f.place]); err != nil {
			return core.CallContext{}, fmt.Errorf("header %s, field %d: %w", headerCallContext, f.place, err)
		}
	}
	var err error
	if p.Rank, err = parseRank(fields[fieldRank]); err != nil {
		return core.CallContext{}, fmt.Errorf("header %s, rank: %w", headerCallContext, err)
	}
	if p.RetryBudget, err = strconv.Atoi(fields[fieldRetryBudget]); err != nil {
		return core.CallContext{}, fmt.Errorf("header %s, budget: %w", headerCallContext, err)
	}
	if p.Timeout, err = time.ParseDuration(fields[fieldTimeout]); err != nil {
		return core.CallContext{}, fmt.Errorf("header %s, timeout: %w", headerCallContext, err)
	}
	if p.IdempotencyHash, err = strconv.ParseUint(fields[fieldIdempotencyKey], 16, 64); err != nil {
		return core.CallContext{}, fmt.Errorf("header %s, repeat: %w", headerCallContext, err)
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
	Level          admit.Level
	UnspentRetries int
}

// SetOutcome writes an outcome into headers or, with http.TrailerPrefix, trailers.
func SetOutcome(h http.Header, prefix string, o Outcome) {
	h[prefix+headerAdmissionLevel] = []string{strconv.Itoa(int(o.Level))}
	h[prefix+headerUnspentRetries] = []string{strconv.Itoa(o.UnspentRetries)}
}

// ExtractOutcome reads an outcome and removes it. What is missing or malformed
// counts as nothing.
func ExtractOutcome(h http.Header) Outcome {
	var o Outcome
	if level, err := strconv.ParseUint(h.Get(headerAdmissionLevel), 10, 16); err == nil {
		o.Level = min(admit.Level(level), admit.MaxLevel)
	}
	if unspent, err := strconv.Atoi(h.Get(headerUnspentRetries)); err == nil {
		o.UnspentRetries = unspent
	}
	delete(h, headerAdmissionLevel)
	delete(h, headerUnspentRetries)
	return o
}

// SetTargetLoad writes the load of the target into the headers of an answer.
func SetTargetLoad(h http.Header, share float64) {
	h[headerLoad] = []string{strconv.Itoa(int(share * 100))}
}

// GetTargetLoad reads what SetLoad wrote. What is missing or malformed tells nothing.
func GetTargetLoad(h http.Header) core.TargetLoad {
	percent, err := strconv.ParseUint(h.Get(headerLoad), 10, 16)
	return core.TargetLoad{Known: err == nil, Utilization: float64(percent) / 100}
}

// ParseRefusal reads a refusal of the node itself; ok is false for a target's answer.
func ParseRefusal(h http.Header) (why core.Reason, ran core.Executed, ok bool) {
	name := h.Get(HeaderReason)
	if name == "" {
		return core.ReasonNone, core.ExecutedUnknown, false
	}
	return core.ParseReason(name), core.ParseExecuted(h.Get(HeaderExecuted)), true
}
