package node

import (
	"encoding/json"
	"fmt"
	"reflect"

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
	methodManifestChunk        = "chunk"
	methodManifestBusy         = "busy"
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

// newMessages returns an empty message of the type that belongs to each method.
var newMessages = map[string]func() core.Message{
	methodSync:                 func() core.Message { return &core.Sync{} },
	methodConfirmation:         func() core.Message { return &core.Confirmation{} },
	methodReport:               func() core.Message { return &core.Report{} },
	methodPlan:                 func() core.Message { return &core.Plan{} },
	methodManifestRequest:      func() core.Message { return &core.ManifestRequest{} },
	methodManifestResponse:     func() core.Message { return &core.ManifestResponse{} },
	methodManifestChunk:        func() core.Message { return &core.ManifestChunk{} },
	methodManifestBusy:         func() core.Message { return &core.ManifestBusy{} },
	methodShardUpdate:          func() core.Message { return &core.ShardUpdate{} },
	methodShardQuery:           func() core.Message { return &core.ShardQuery{} },
	methodTokenRequest:         func() core.Message { return &core.TokenBatchRequest{} },
	methodTokenGrant:           func() core.Message { return &core.TokenGrant{} },
	methodClockRequest:         func() core.Message { return &core.ClockRequest{} },
	methodClockResponse:        func() core.Message { return &core.ClockResponse{} },
	methodIdempotencyRecord:    func() core.Message { return &core.IdempotencyRecord{} },
	methodIdempotencyRecordAck: func() core.Message { return &core.IdempotencyRecordAck{} },
	methodHandover:             func() core.Message { return &core.Handover{} },
}

// methods holds the method of each type of message.
var methods = func() map[reflect.Type]string {
	out := make(map[reflect.Type]string, len(newMessages))
	for method, message := range newMessages {
		out[reflect.TypeOf(message())] = method
	}
	return out
}()

// methodOf returns the method of a message, or "" for an unknown type.
func methodOf(m core.Message) string { return methods[reflect.TypeOf(m)] }

// newMessage returns an empty message of the type that belongs to a method, or nil.
func newMessage(method string) core.Message {
	if message, ok := newMessages[method]; ok {
		return message()
	}
	return nil
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
