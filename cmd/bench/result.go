package main

// Result is the line that an experiment prints. Fields that it does not measure
// are left out.
type Result struct {
	Name    string `json:"name"`
	Example string `json:"example,omitempty"`
	Seed    uint64 `json:"seed"`
	OK      bool   `json:"ok"`

	Figures

	Points []Point `json:"points,omitempty"`
	Fits   []Fit   `json:"fits,omitempty"`

	Off    *Figures `json:"off,omitempty"`
	Static *Figures `json:"static,omitempty"`
}

// Figures are what was counted at callers and targets.
type Figures struct {
	Good     *float64 `json:"good,omitempty"`
	Peak     *float64 `json:"peak,omitempty"`
	Ratio    *float64 `json:"ratio,omitempty"`
	Vital    *float64 `json:"vital,omitempty"`
	Waste    *float64 `json:"waste,omitempty"`
	Calm     *float64 `json:"calm,omitempty"`
	P99      *float64 `json:"p99,omitempty"`
	Recover  *float64 `json:"recover,omitempty"`
	Low      *float64 `json:"low,omitempty"`
	Found    *float64 `json:"found,omitempty"`
	Worst    *float64 `json:"worst,omitempty"`
	Wrong    *float64 `json:"wrong,omitempty"`
	Moving   *float64 `json:"moving,omitempty"`
	Tries    *float64 `json:"tries,omitempty"`
	Most     *float64 `json:"most,omitempty"`
	Sent     *float64 `json:"sent,omitempty"`
	Doubled  *float64 `json:"doubled,omitempty"`
	Lies     *float64 `json:"lies,omitempty"`
	Over     *float64 `json:"over,omitempty"`
	Spread   *float64 `json:"spread,omitempty"`
	Lost     *float64 `json:"lost,omitempty"`
	Cut      *float64 `json:"cut,omitempty"`
	Back     *float64 `json:"back,omitempty"`
	Calls    *float64 `json:"calls,omitempty"`
	Cost     *float64 `json:"cost,omitempty"`
	Resident *float64 `json:"resident,omitempty"`
	Bytes    *float64 `json:"bytes,omitempty"`
	CPU      *float64 `json:"cpu,omitempty"`
	Added    *float64 `json:"added,omitempty"`
	Straight *float64 `json:"straight,omitempty"`
	Through  *float64 `json:"through,omitempty"`
	Steps    *float64 `json:"steps,omitempty"`
	Allocs   *float64 `json:"allocs,omitempty"`

	Why []Cause `json:"why,omitempty"`
}

// Cause counts the requests that failed in one way.
type Cause struct {
	Reason string `json:"reason"`
	Status int    `json:"status"`
	Count  int    `json:"count"`
}

// floatPtr makes a figure of a value.
func floatPtr(v float64) *float64 { return &v }

func countPtr(n int) *float64 { return floatPtr(float64(n)) }

type figureInfo struct{ name, description string }

var figureInfos = []figureInfo{
	{"good", "whole requests answered a second"},
	{"peak", "the same at saturation without overload"},
	{"ratio", "good by peak"},
	{"vital", "share of important requests answered"},
	{"waste", "share of all work done for requests that later failed"},
	{"calm", "p99 of answered requests without load, ms"},
	{"p99", "p99 of answered requests, ms"},
	{"recover", "time from healing until goodput is back at 0.95 of before, s; -1: not back"},
	{"low", "least share of the goodput before, in any second of the fault"},
	{"found", "time until no call fails at a node that has gone silent, s"},
	{"worst", "the worst-served workspace's share of what it gets alone"},
	{"wrong", "share of requests within their workspace's rate that were refused, 0 to 1"},
	{"moving", "the same while demand moves to another domain"},
	{"tries", "attempts at the deepest target for each root call, mean"},
	{"most", "the same, largest for any one root call"},
	{"sent", "requests sent"},
	{"doubled", "non-idempotent requests that ran more than once"},
	{"lies", "refusals as not run that ran"},
	{"over", "requests let in above rate*t + burst in the worst window"},
	{"spread", "time from apply until the last node had it in force, s"},
	{"lost", "requests without an answer or refusal"},
	{"cut", "requests that a planned stop broke off"},
	{"back", "nodes that reverted to an older configuration"},
	{"calls", "store calls a node a second"},
	{"cost", "processor time of all nodes for each request, what they take idle left out, ms"},
	{"resident", "resident memory of a node at its peak, the highest, MB"},
	{"bytes", "control bytes a node a second"},
	{"cpu", "processor share of a node, of one core"},
	{"added", "p99 of the latency added to a call by two nodes, ms"},
	{"straight", "p99 of a call made straight to its target, ms"},
	{"through", "p99 of a call through two nodes, ms"},
	{"steps", "reducer steps a second on one core"},
	{"allocs", "allocations for each step"},
	{"why", "requests not answered, by the last refusal's reason and status"},
}
