// Package plan limits the calls that enter a call graph to what its services can serve.
//
// A call that is refused deep in the graph wastes the work already done for it, so calls
// are refused at the entry. Each node estimates what the routes of its target cost: how
// long a run occupies a slot and which calls it makes. It reports these costs, the load of
// its target and the demand at the node to one node, the planner. The planner computes
// the cost of each root call for every service in its call tree, and the ratio of the
// calls of each class that can be admitted, restricting the lowest class first.
package plan
