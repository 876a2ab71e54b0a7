package core

import (
	"slices"

	"celeryshelf/core/admit"
	"celeryshelf/core/manifest"
)

// callPriority orders calls by the workspace's priority, then by the route's.
type callPriority struct {
	workspace, route int // 0 is the highest priority
}

// priorityOf returns the priority of calls on a route. The workspace is nil for calls of none.
func priorityOf(w *manifest.Workspace, r *manifest.Route) callPriority {
	p := callPriority{route: routePriority(r)}
	if w != nil && w.Priority != nil {
		p.workspace = *w.Priority
	}
	return p
}

func routePriority(r *manifest.Route) int {
	switch {
	case r.Priority != nil:
		return *r.Priority
	case r.Important:
		return 0
	}
	return 1
}

// priorityClasses maps the priorities that occur under a manifest to admission classes. It
// holds the priorities of workspaces and of routes apart: a manifest may have many of both, and
// any pair of them may occur.
type priorityClasses struct {
	workspaces    []int // sorted; that of calls without a workspace, 0, is among them
	routes        []int // sorted
	defaultRoutes []int // sorted; the routes' priorities and 0 and 1, for workspaces of priority 0
}

func newPriorityClasses(m *manifest.Manifest) priorityClasses {
	c := priorityClasses{workspaces: []int{0}}
	for i := range m.Workspaces {
		if p := m.Workspaces[i].Priority; p != nil {
			c.workspaces = append(c.workspaces, *p)
		}
	}
	for i := range m.Routes {
		c.routes = append(c.routes, routePriority(&m.Routes[i]))
	}
	c.defaultRoutes = append([]int{0, 1}, c.routes...)
	for _, list := range [...]*[]int{&c.workspaces, &c.routes, &c.defaultRoutes} {
		slices.Sort(*list)
		*list = slices.Compact(*list)
	}
	return c
}

// routesOf returns the priorities of the routes that occur with a workspace's.
func (c *priorityClasses) routesOf(workspace int) []int {
	if workspace == 0 {
		return c.defaultRoutes
	}
	return c.routes
}

// count returns the number of priorities.
func (c *priorityClasses) count() int {
	return (len(c.workspaces)-1)*len(c.routes) + len(c.defaultRoutes)
}

// class returns the class of a priority that occurs under the manifest. The lowest has class 0. If
// there are more priorities than admit.Classes, neighbors share a class.
func (c *priorityClasses) class(p callPriority) uint8 {
	before, _ := slices.BinarySearch(c.workspaces, p.workspace)
	higher := before * len(c.routes)
	if p.workspace > 0 {
		higher += len(c.defaultRoutes) - len(c.routes)
	}
	rank, _ := slices.BinarySearch(c.routesOf(p.workspace), p.route)
	higher += rank
	return c.classAt(c.count() - 1 - higher)
}

// classAt returns the class of a priority with the given number of lower ones.
func (c *priorityClasses) classAt(lower int) uint8 {
	n := c.count()
	return uint8(lower * min(admit.Classes, n) / n)
}

// top returns the highest class.
func (c *priorityClasses) top() uint8 { return c.classAt(c.count() - 1) }
