package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"path"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/examples"
	"celeryshelf/internal/document"
	"celeryshelf/internal/loopback"
	"celeryshelf/internal/settings"
	"celeryshelf/internal/standin"
)

// Service describes the targets of one service.
type Service struct {
	Name       string              `json:"name"`
	Endpoints  int                 `json:"endpoints"`
	Slots      int                 `json:"slots"`
	Queue      int                 `json:"queue"`
	Behaviours []standin.Behaviour `json:"behaviours"`
}

// Caller is a workspace that sends load. RateShare is its share of the total call rate.
type Caller struct {
	Workspace string  `json:"workspace"`
	Key       string  `json:"key"`
	RateShare float64 `json:"share"`
}

// RouteLoad is the load on a route. RateShare is its share of each caller's rate.
type RouteLoad struct {
	Method     string  `json:"method"`
	Path       string  `json:"path"`
	RateShare  float64 `json:"share"`
	Important  bool    `json:"important,omitempty"`
	AtMostOnce bool    `json:"once,omitempty"`
}

// Deployment describes an example deployment: its targets and its callers.
type Deployment struct {
	Name     string      `json:"name"`
	Region   string      `json:"region"`
	Domains  []string    `json:"domains"`
	Services []Service   `json:"services"`
	Callers  []Caller    `json:"callers"`
	Load     []RouteLoad `json:"load"`
}

// LoadExample reads the deployment and the manifest of an example by name.
func LoadExample(name string) (Deployment, manifest.Manifest, error) {
	var d Deployment
	var m manifest.Manifest
	data, err := examples.Files.ReadFile(path.Join(name, "deployment.json"))
	if err != nil {
		return d, m, fmt.Errorf("example %q: %w", name, err)
	}
	if err := json.Unmarshal(data, &d); err != nil {
		return d, m, fmt.Errorf("example %q: %w", name, err)
	}
	text, err := examples.Files.ReadFile(path.Join(name, "manifest.json"))
	if err != nil {
		return d, m, fmt.Errorf("example %q: %w", name, err)
	}
	if err := document.Decode(path.Join(name, "manifest.json"), text, document.Manifest, &m); err != nil {
		return d, m, err
	}
	return d, m, nil
}

// Streams distributes a total call rate over the callers and routes of the deployment by their
// shares.
func (d Deployment) Streams(total float64) []standin.Stream {
	var out []standin.Stream
	for _, c := range d.Callers {
		for _, f := range d.Load {
			out = append(out, standin.Stream{
				Workspace: c.Workspace, Key: c.Key, Method: f.Method, Path: f.Path,
				Rate: total * c.RateShare * f.RateShare, Important: f.Important, AtMostOnce: f.AtMostOnce,
			})
		}
	}
	return out
}

// VM describes one machine: a node and its target.
type VM struct {
	Settings settings.Settings
	Target   standin.TargetConfig
}

// Plan is a deployment with an address for each of its parts.
type Plan struct {
	Store netip.AddrPort
	VMs   []VM
}

// Ports, equal on every VM: each VM has a loopback address of its own.
const (
	portCaller   = 8080
	portOutgoing = 8081
	portNode     = 8082
	portControl  = 8083
	portOperator = 8084
	portTarget   = 9000
	portStore    = 2379
)

// Options configure a plan.
type Options struct {
	Network    *loopback.Network
	LeaseTTL   time.Duration // of the nodes' store leases
	DrainGrace time.Duration // from the start of draining until a node stops accepting callers
	WarmUp     time.Duration // after a target's start, in which it is slow
}

// NewPlan assigns an address and a failure domain to each endpoint of a deployment. It
// distributes the domains in turn.
func NewPlan(d Deployment, o Options) Plan {
	at := func(service, endpoint byte, port uint16) netip.AddrPort {
		return netip.AddrPortFrom(o.Network.Addr(service, endpoint), port)
	}
	p := Plan{Store: at(0, 1, portStore)}
	n := 0
	for i, s := range d.Services {
		for k := range s.Endpoints {
			x, y := byte(i+1), byte(k+1)
			set := settings.Defaults()
			set.Name = fmt.Sprintf("%s-%d", s.Name, k+1)
			set.Service, set.Region = s.Name, d.Region
			set.Domain = d.Domains[n%len(d.Domains)]
			set.Listen = settings.Listen{
				Caller: at(x, y, portCaller), Outgoing: at(x, y, portOutgoing), Node: at(x, y, portNode),
				Control: at(x, y, portControl), Operator: at(x, y, portOperator),
			}
			set.Target = at(x, y, portTarget)
			set.Store.Addresses = []netip.AddrPort{p.Store}
			set.Store.LeaseTTL.Duration = o.LeaseTTL
			set.DrainGrace.Duration = o.DrainGrace
			p.VMs = append(p.VMs, VM{Settings: set, Target: standin.TargetConfig{
				Name: set.Name, Listen: set.Target, NodeAddress: set.Listen.Outgoing,
				Slots: s.Slots, QueueLimit: s.Queue, WarmUp: manifest.Duration{Duration: o.WarmUp}, Behaviours: s.Behaviours,
			}})
			n++
		}
	}
	for i := range p.VMs {
		p.VMs[i].Settings.SeedAddresses = []netip.AddrPort{
			p.VMs[0].Settings.Listen.Control, p.VMs[len(p.VMs)-1].Settings.Listen.Control,
		}
	}
	return p
}

// CallerAddrs returns the addresses at which the nodes accept callers.
func (p Plan) CallerAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, v := range p.VMs {
		out = append(out, v.Settings.Listen.Caller)
	}
	return out
}
