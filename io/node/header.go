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

// HeaderPrefix is the prefix of all headers that this system defines.
const HeaderPrefix = "Celery-"

// Headers between nodes, and from nodes to callers and targets.
const (
	headerCallContext    = "Celery-Pass"
	headerAdmissionLevel = "Celery-Level"
	headerUnspentRetries = "Celery-Unspent"
	headerLoad           = "Celery-Load" // running and queued calls as a percentage of the target's slots
	headerCold           = "Celery-Cold" // milliseconds for which the target stays cold, absent if it is not
	headerWork           = "Celery-Work" // unit time, service time and the call's own, see core.Work, in microseconds

	// HeaderReason and HeaderExecuted state why a call was refused and whether it may
	// have been executed.
	HeaderReason   = "Celery-Reason"
	HeaderExecuted = "Celery-Ran"
	// HeaderTimeout is the timeout of a call, in the format of time.ParseDuration.
	HeaderTimeout = "Celery-Timeout"
)

// maxDepth is the largest call graph depth that the header can carry.
const maxDepth = 255

// Positions of the fields of a call context in headerCallContext, which are separated by
// spaces. A single header takes fewer bytes than one header per field.
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

// SetCallContext encodes a call context into a header.
func SetCallContext(h http.Header, c core.CallContext) {
	once := ""
	if c.AtMostOnce {
		once = onceFlag
	}
	fields := [fieldCount]string{
		fieldEndpoint:       url.QueryEscape(c.Endpoint),
		fieldWorkspace:      url.QueryEscape(c.Workspace),
		fieldRoute:          url.QueryEscape(c.Route),
		fieldEntryService:   url.QueryEscape(c.EntryService),
		fieldRank:           formatRank(c.Rank),
		fieldRetryBudget:    strconv.Itoa(c.RetryBudget),
		fieldTimeout:        c.Timeout.String(),
		fieldOnce:           once,
		fieldIdempotencyKey: strconv.FormatUint(c.IdempotencyHash, 16),
	}
	h[headerCallContext] = []string{strings.Join(fields[:], " ")}
}

// GetCallContext decodes the header that SetCallContext writes. The error names the
// first malformed field.
func GetCallContext(h http.Header) (core.CallContext, error) {
	fields := strings.Split(h.Get(headerCallContext), " ")
	if len(fields) != fieldCount {
		return core.CallContext{}, fmt.Errorf("header %s: has %d fields, want %d", headerCallContext, len(fields), fieldCount)
	}
	c := core.CallContext{AtMostOnce: fields[fieldOnce] == onceFlag}
	for _, f := range []struct {
		index int
		name  *string
	}{{fieldEndpoint, &c.Endpoint}, {fieldWorkspace, &c.Workspace}, {fieldRoute, &c.Route}, {fieldEntryService, &c.EntryService}} {
		var err error
		if *f.name, err = url.QueryUnescape(fields[f.index]); err != nil {
			return core.CallContext{}, fmt.Errorf("header %s, field %d: %w", headerCallContext, f.index, err)
		}
	}
	var err error
	if c.Rank, err = parseRank(fields[fieldRank]); err != nil {
		return core.CallContext{}, fmt.Errorf("header %s, rank: %w", headerCallContext, err)
	}
	if c.RetryBudget, err = strconv.Atoi(fields[fieldRetryBudget]); err != nil {
		return core.CallContext{}, fmt.Errorf("header %s, retry budget: %w", headerCallContext, err)
	}
	if c.Timeout, err = time.ParseDuration(fields[fieldTimeout]); err != nil {
		return core.CallContext{}, fmt.Errorf("header %s, timeout: %w", headerCallContext, err)
	}
	if c.IdempotencyHash, err = strconv.ParseUint(fields[fieldIdempotencyKey], 16, 64); err != nil {
		return core.CallContext{}, fmt.Errorf("header %s, idempotency key: %w", headerCallContext, err)
	}
	return c, nil
}

// formatRank returns class, depth and hash, separated by dots.
func formatRank(r admit.Rank) string {
	return strconv.Itoa(int(r.Class)) + "." + strconv.Itoa(int(r.Depth)) + "." + strconv.Itoa(int(r.Hash))
}

func parseRank(text string) (admit.Rank, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return admit.Rank{}, fmt.Errorf("rank %q: want CLASS.DEPTH.HASH", text)
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

// Outcome is what a node reports to the calling node with a response or a refusal: its
// admission level and the part of the retry budget that the call did not use.
type Outcome struct {
	Level          admit.Level
	UnspentRetries int
}

// SetOutcome encodes an outcome into headers or, with http.TrailerPrefix, into trailers.
func SetOutcome(h http.Header, prefix string, o Outcome) {
	h[prefix+headerAdmissionLevel] = []string{strconv.Itoa(int(o.Level))}
	h[prefix+headerUnspentRetries] = []string{strconv.Itoa(o.UnspentRetries)}
}

// ExtractOutcome decodes an outcome and removes its headers. A missing or malformed
// header counts as zero.
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

// SetTargetLoad encodes the utilization and the cold period of the target, as they were at a
// verdict, into the headers of a response.
func SetTargetLoad(h http.Header, in core.VerdictInputs) {
	h[headerLoad] = []string{strconv.Itoa(int(in.Load * 100))}
	if in.ColdFor > 0 {
		h[headerCold] = []string{strconv.FormatInt(in.ColdFor.Milliseconds(), 10)}
	}
}

// GetTargetLoad decodes the header that SetTargetLoad writes. If it is missing or
// malformed, the load is unknown.
func GetTargetLoad(h http.Header) core.TargetLoad {
	percent, err := strconv.ParseUint(h.Get(headerLoad), 10, 16)
	l := core.TargetLoad{Known: err == nil, Utilization: float64(percent) / 100, Work: getWork(h)}
	if cold := h.Get(headerCold); cold != "" {
		if ms, err := strconv.ParseUint(cold, 10, 32); err == nil {
			l.ColdFor = time.Duration(ms) * time.Millisecond
		}
	}
	return l
}

// ParseRefusal decodes a refusal by the node itself; ok is false for a response of its
// target.
func ParseRefusal(h http.Header) (reason core.Reason, executed core.Executed, ok bool) {
	name := h.Get(HeaderReason)
	if name == "" {
		return core.ReasonNone, core.ExecutedUnknown, false
	}
	return core.ParseReason(name), core.ParseExecuted(h.Get(HeaderExecuted)), true
}
