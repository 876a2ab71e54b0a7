package main

// Result is the JSON output of an experiment. Figures that it does not measure are
// omitted. Off and Static hold the figures of the baselines.
type Result struct {
	Name    string `json:"name"`
	Example string `json:"example,omitempty"`
	Seed    uint64 `json:"seed"`
	OK      bool   `json:"ok"`

	Figures

	Points []Point    `json:"points,omitempty"`
	Fits   []Fit      `json:"fits,omitempty"`
	Place  []placeRow `json:"place,omitempty"`

	Off    *Figures `json:"off,omitempty"`
	Static *Figures `json:"static,omitempty"`
}

// Figures are the measured values, taken mostly at the callers and targets.
// figureInfos describes each by its JSON name.
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

// Cause counts the failed requests with the same refusal reason and status.
type Cause struct {
	Reason string `json:"reason"`
	Status int    `json:"status"`
	Count  int    `json:"count"`
}

func floatPtr(v float64) *float64 { return &v }

func countPtr(n int) *float64 { return floatPtr(float64(n)) }

type figureInfo struct{ name, description string }

var figureInfos = []figureInfo{
	{"good", "root calls answered successfully per second"},
	{"peak", "highest good at demands around the capacity, without overload"},
	{"ratio", "good divided by peak; for recovery: goodput at the end divided by goodput before the fault"},
	{"vital", "share of important requests answered"},
	{"waste", "share of the targets' work done for root calls that failed"},
	{"calm", "p99 of answered requests under light load, ms"},
	{"p99", "p99 of answered requests, ms"},
	{"recover", "time from the end of the fault until goodput is back at 0.95 of its value before, s; -1 if it does not recover"},
	{"low", "lowest goodput in any second of the fault, as a share of the goodput before it"},
	{"found", "time from the suspension of a node until the last failed call starts, s"},
	{"worst", "lowest ratio over workspaces of the share answered with the greedy workspace to the share without it"},
	{"wrong", "share of requests within their workspace's rate that were refused, 0 to 1"},
	{"moving", "share of such requests refused while demand moves from node to node, 0 to 1"},
	{"tries", "executions at the deepest target per root call, mean"},
	{"most", "executions at the deepest target, maximum over root calls"},
	{"sent", "requests sent"},
	{"doubled", "non-idempotent requests executed more than once"},
	{"lies", "requests executed more often than attempts that were not refused as not executed"},
	{"over", "requests admitted above rate*t + burst in the worst window"},
	{"spread", "time from applying a manifest until the last node enforces it, s"},
	{"lost", "requests without an answer or refusal"},
	{"cut", "requests interrupted by a planned stop"},
	{"back", "checks in which a node had reverted to an older configuration"},
	{"calls", "store calls per node and second"},
	{"cost", "CPU time of all nodes per request, less their idle CPU time, ms"},
	{"resident", "highest peak resident memory of any node, MB"},
	{"bytes", "control bytes sent per node and second"},
	{"cpu", "CPU usage of a node, as a share of one core"},
	{"added", "p99 through two nodes less p99 direct to the target, ms"},
	{"straight", "p99 of a call made directly to its target, ms"},
	{"through", "p99 of a call through two nodes, ms"},
	{"steps", "reducer steps per second on one core"},
	{"allocs", "heap allocations per reducer step"},
	{"why", "failed requests, by the reason and status of the last attempt"},
}
