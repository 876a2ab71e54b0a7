package etcd

import "celeryshelf/io/store"

// responseHeader is part of every response.
type responseHeader struct {
	Revision int64 `json:"revision,string"`
}

// keyValue is a key with its value and the revision of its last write.
type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

func (kv keyValue) toStore() store.KeyValue {
	return store.KeyValue{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header responseHeader `json:"header"`
	KVs    []keyValue     `json:"kvs"`
}

// Targets and the result of a comparison in a transaction.
const (
	targetCreate = "CREATE"
	targetMod    = "MOD"
	targetValue  = "VALUE"
	resultEqual  = "EQUAL"
)

type compare struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	Result         string `json:"result"`
	CreateRevision *int64 `json:"create_revision,string,omitempty"`
	ModRevision    *int64 `json:"mod_revision,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type requestOp struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
}

type txnResponse struct {
	Header    responseHeader `json:"header"`
	Succeeded bool           `json:"succeeded"`
}

type leaseRequest struct {
	TTL int64 `json:"TTL,string,omitempty"` // seconds
	ID  int64 `json:"ID,string,omitempty"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"` // seconds
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type watchCreateRequest struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchRequest struct {
	Create watchCreateRequest `json:"create_request"`
}

const eventDelete = "DELETE"

type watchEvent struct {
	Type string   `json:"type"`
	KV   keyValue `json:"kv"`
}

type watchResult struct {
	Header   responseHeader `json:"header"`
	Events   []watchEvent   `json:"events"`
	Canceled bool           `json:"canceled"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}
