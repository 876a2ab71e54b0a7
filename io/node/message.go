package node

import (
	"encoding/json"
	"fmt"

	"celeryshelf/core"
)

// Methods of the control protocol, one for each message.
const (
	methodSync     = "sync"
	methodProof    = "proof"
	methodReport   = "report"
	methodPlan     = "plan"
	methodFetch    = "fetch"
	methodConfig   = "config"
	methodNews     = "news"
	methodLook     = "look"
	methodAsk      = "ask"
	methodGrant    = "grant"
	methodEcho     = "echo"
	methodEchoed   = "echoed"
	methodRecord   = "record"
	methodRecorded = "recorded"
	methodHandover = "handover"
)

// frame carries a message with the name of its sender.
type frame struct {
	From string          `json:"from"`
	Body json.RawMessage `json:"body"`
}

func methodOf(m core.Message) string {
	switch m.(type) {
	case *core.Sync:
		return methodSync
	case *core.Confirmation:
		return methodProof
	case *core.Report:
		return methodReport
	case *core.Plan:
		return methodPlan
	case *core.ManifestRequest:
		return methodFetch
	case *core.ManifestResponse:
		return methodConfig
	case *core.ShardUpdate:
		return methodNews
	case *core.ShardQuery:
		return methodLook
	case *core.TokenRequest:
		return methodAsk
	case *core.TokenGrant:
		return methodGrant
	case *core.ClockRequest:
		return methodEcho
	case *core.ClockResponse:
		return methodEchoed
	case *core.IdempotencyRecord:
		return methodRecord
	case *core.IdempotencyRecordAck:
		return methodRecorded
	case *core.Handover:
		return methodHandover
	default:
		return ""
	}
}

func newMessage(method string) core.Message {
	switch method {
	case methodSync:
		return &core.Sync{}
	case methodProof:
		return &core.Confirmation{}
	case methodReport:
		return &core.Report{}
	case methodPlan:
		return &core.Plan{}
	case methodFetch:
		return &core.ManifestRequest{}
	case methodConfig:
		return &core.ManifestResponse{}
	case methodNews:
		return &core.ShardUpdate{}
	case methodLook:
		return &core.ShardQuery{}
	case methodAsk:
		return &core.TokenRequest{}
	case methodGrant:
		return &core.TokenGrant{}
	case methodEcho:
		return &core.ClockRequest{}
	case methodEchoed:
		return &core.ClockResponse{}
	case methodRecord:
		return &core.IdempotencyRecord{}
	case methodRecorded:
		return &core.IdempotencyRecordAck{}
	case methodHandover:
		return &core.Handover{}
	default:
		return nil
	}
}

func encodeFrame(from string, m core.Message) (frame, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return frame{}, fmt.Errorf("encode %s: %w", methodOf(m), err)
	}
	return frame{From: from, Body: body}, nil
}

func decodeFrame(method string, params *json.RawMessage) (core.MessageReceived, error) {
	m := newMessage(method)
	if m == nil || params == nil {
		return core.MessageReceived{}, fmt.Errorf("unknown method %q", method)
	}
	var f frame
	if err := json.Unmarshal(*params, &f); err != nil {
		return core.MessageReceived{}, fmt.Errorf("decode frame of %s: %w", method, err)
	}
	if err := json.Unmarshal(f.Body, m); err != nil {
		return core.MessageReceived{}, fmt.Errorf("decode %s: %w", method, err)
	}
	return core.MessageReceived{From: f.From, Body: m}, nil
}
