package store

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/plan"
)

func TestCostsInTheStore(t *testing.T) {
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
		t.Errorf("got %+v, want the rows that were written", e)
	}
	if e, err := l.decodeEvent(Change{Key: l.costsKey(), Deleted: true}); e != nil || err != nil {
		t.Errorf("got %v, %v for costs that are gone, want nothing", e, err)
	}
	if _, err := l.decodeEvent(Change{Key: l.costsKey(), Value: []byte("{")}); err == nil {
		t.Error("no error for a value that cannot be read")
	}
}
