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
	case *core.Proof:
		return methodProof
	case *core.Report:
		return methodReport
	case *core.Plan:
		return methodPlan
	case *core.Fetch:
		return methodFetch
	case *core.Config:
		return methodConfig
	case *core.News:
		return methodNews
	case *core.Look:
		return methodLook
	case *core.TokenAsk:
		return methodAsk
	case *core.TokenGrant:
		return methodGrant
	case *core.Echo:
		return methodEcho
	case *core.Echoed:
		return methodEchoed
	case *core.Record:
		return methodRecord
	case *core.Recorded:
		return methodRecorded
	case *core.Handover:
		return methodHandover
	default:
		return ""
	}
}

func messageOf(method string) core.Message {
	switch method {
	case methodSync:
		return &core.Sync{}
	case methodProof:
		return &core.Proof{}
	case methodReport:
		return &core.Report{}
	case methodPlan:
		return &core.Plan{}
	case methodFetch:
		return &core.Fetch{}
	case methodConfig:
		return &core.Config{}
	case methodNews:
		return &core.News{}
	case methodLook:
		return &core.Look{}
	case methodAsk:
		return &core.TokenAsk{}
	case methodGrant:
		return &core.TokenGrant{}
	case methodEcho:
		return &core.Echo{}
	case methodEchoed:
		return &core.Echoed{}
	case methodRecord:
		return &core.Record{}
	case methodRecorded:
		return &core.Recorded{}
	case methodHandover:
		return &core.Handover{}
	default:
		return nil
	}
}

func encode(from string, m core.Message) (frame, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return frame{}, fmt.Errorf("encode %s: %w", methodOf(m), err)
	}
	return frame{From: from, Body: body}, nil
}

func decode(method string, params *json.RawMessage) (core.MessageReceived, error) {
	m := messageOf(method)
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
