// Package plan keeps the calls that enter a call graph within what its services
// can carry.
//
// A call that is refused deep in the graph wastes all that was done for it, so the
// place to refuse is the entry. Each node learns what the routes of its target
// cost: how long a run holds a slot and which calls it makes. It reports that,
// its target's load and the calls offered at it to one node, the planner. The
// planner works out what each root call costs every service of its tree, and the
// share of each class that fits, the least important class cut first.
package plan
