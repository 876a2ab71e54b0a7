package store

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/plan"
)

// TestDecodeCosts guards against call costs that change between the write and the read,
// and against deleted or undecodable costs that reach the reducer as an event.
func TestDecodeCosts(t *testing.T) {
	rows := []plan.RouteCost{{Route: "map", HoldTime: time.Second, Runs: 3, Calls: []plan.ChildCalls{{Route: "table", PerRun: 2.5}}}}
	value, err := json.Marshal(rows)
	if err != nil {
		t.Fatal(err)
	}
	l := NewLayout("shelf/")
	e, err := l.decodeEvent(Change{Key: l.costsKey(), Value: value})
	if err != nil {
		t.Fatal(err)
	}
	if got, ok := e.(*core.CostsStored); !ok || !reflect.DeepEqual(got.Rows, rows) {
		t.Errorf("got %+v, want the rows %+v", e, rows)
	}
	if e, err := l.decodeEvent(Change{Key: l.costsKey(), Deleted: true}); e != nil || err != nil {
		t.Errorf("got event %v, error %v for deleted costs, want neither", e, err)
	}
	if _, err := l.decodeEvent(Change{Key: l.costsKey(), Value: []byte("{")}); err == nil {
		t.Error("got no error for a value that is not JSON")
	}
}
