package node

import (
	"encoding/json"
	"fmt"

	"celeryshelf/core"
)

// Methods of the control protocol, one for each type of message.
const (
	methodSync                 = "sync"
	methodConfirmation         = "proof"
	methodReport               = "report"
	methodPlan                 = "plan"
	methodManifestRequest      = "fetch"
	methodManifestResponse     = "config"
	methodShardUpdate          = "news"
	methodShardQuery           = "look"
	methodTokenRequest         = "ask"
	methodTokenGrant           = "grant"
	methodClockRequest         = "echo"
	methodClockResponse        = "echoed"
	methodIdempotencyRecord    = "record"
	methodIdempotencyRecordAck = "recorded"
	methodHandover             = "handover"
)

// frame is a message with the name of its sender.
type frame struct {
	From string          `json:"from"`
	Body json.RawMessage `json:"body"`
}

// methodOf returns the method of a message, or "" for an unknown type.
func methodOf(m core.Message) string {
	switch m.(type) {
	case *core.Sync:
		return methodSync
	case *core.Confirmation:
		return methodConfirmation
	case *core.Report:
		return methodReport
	case *core.Plan:
		return methodPlan
	case *core.ManifestRequest:
		return methodManifestRequest
	case *core.ManifestResponse:
		return methodManifestResponse
	case *core.ShardUpdate:
		return methodShardUpdate
	case *core.ShardQuery:
		return methodShardQuery
	case *core.TokenBatchRequest:
		return methodTokenRequest
	case *core.TokenGrant:
		return methodTokenGrant
	case *core.ClockRequest:
		return methodClockRequest
	case *core.ClockResponse:
		return methodClockResponse
	case *core.IdempotencyRecord:
		return methodIdempotencyRecord
	case *core.IdempotencyRecordAck:
		return methodIdempotencyRecordAck
	case *core.Handover:
		return methodHandover
	default:
		return ""
	}
}

// newMessage returns an empty message of the type that belongs to a method, or nil.
func newMessage(method string) core.Message {
	switch method {
	case methodSync:
		return &core.Sync{}
	case methodConfirmation:
		return &core.Confirmation{}
	case methodReport:
		return &core.Report{}
	case methodPlan:
		return &core.Plan{}
	case methodManifestRequest:
		return &core.ManifestRequest{}
	case methodManifestResponse:
		return &core.ManifestResponse{}
	case methodShardUpdate:
		return &core.ShardUpdate{}
	case methodShardQuery:
		return &core.ShardQuery{}
	case methodTokenRequest:
		return &core.TokenBatchRequest{}
	case methodTokenGrant:
		return &core.TokenGrant{}
	case methodClockRequest:
		return &core.ClockRequest{}
	case methodClockResponse:
		return &core.ClockResponse{}
	case methodIdempotencyRecord:
		return &core.IdempotencyRecord{}
	case methodIdempotencyRecordAck:
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
		return core.MessageReceived{}, fmt.Errorf("method %q is unknown or has no parameters", method)
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
