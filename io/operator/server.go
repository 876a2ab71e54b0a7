package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kataras/iris/v12"
)

// Shard is a shard of a workspace's quota with its owner on record.
type Shard struct {
	Workspace string `json:"workspace"`
	Index     int    `json:"index"`
	Count     int    `json:"count"`
	Owner     string `json:"owner"`
}

// Member is a node as the reporting node knows it.
type Member struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Domain      string `json:"domain"`
	Version     uint64 `json:"version"` // version of the manifest that the node has confirmed to be current
	Draining    bool   `json:"draining,omitempty"`
	Unreachable bool   `json:"silent,omitempty"`
	SinceHeard  string `json:"heard,omitempty"` // time since the node was last heard from
}

// AdmissionStatus is the state of admission control for the local target.
type AdmissionStatus struct {
	Limit           float64 `json:"limit"`
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	MeanServiceTime string  `json:"service"`
}

// Status is a node's report on itself and on the fleet as it knows it.
type Status struct {
	Self             Member          `json:"self"`
	Version          uint64          `json:"version"`
	StoreReachable   bool            `json:"store"`
	StoreCalls       uint64          `json:"storecalls"`
	ControlBytesSent uint64          `json:"sentbytes"`
	CPU              string          `json:"cpu"`
	Calls            int             `json:"calls"`
	Admission        AdmissionStatus `json:"gate"`
	OwnedShards      int             `json:"held"`
	Members          []Member        `json:"members"`
	Shards           []Shard         `json:"shards"`
}

// Node is the node that operators inspect and drain.
type Node interface {
	Status(ctx context.Context) (Status, error)
	Drain()
	Ready() bool
}

const readHeaderTimeout = 5 * time.Second

// NewServer returns the HTTP server for operators of a node.
func NewServer(n Node) (*http.Server, error) {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog, iris.WithoutServerError(iris.ErrServerClosed))
	app.Get("/status", func(ctx iris.Context) {
		status, err := n.Status(ctx.Request().Context())
		if err != nil {
			ctx.StopWithError(iris.StatusServiceUnavailable, err)
			return
		}
		_ = ctx.JSON(status)
	})
	app.Get("/health", func(ctx iris.Context) {
		if !n.Ready() {
			ctx.StopWithStatus(iris.StatusServiceUnavailable)
			return
		}
		_, _ = ctx.WriteString("ok\n")
	})
	app.Get("/metrics", func(ctx iris.Context) {
		metrics.WritePrometheus(ctx.ResponseWriter(), true)
	})
	app.Post("/drain", func(ctx iris.Context) {
		n.Drain()
		ctx.StatusCode(iris.StatusAccepted)
	})
	if err := app.Build(); err != nil {
		return nil, err
	}
	return &http.Server{Handler: app, ReadHeaderTimeout: readHeaderTimeout}, nil
}
