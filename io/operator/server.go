package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kataras/iris/v12"
)

// Shard is one shard of a workspace's allowance with its recorded owner.
type Shard struct {
	Workspace string `json:"workspace"`
	Index     int    `json:"index"`
	Count     int    `json:"count"`
	Owner     string `json:"owner"`
}

// Member is one node as this one knows it.
type Member struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Domain      string `json:"domain"`
	Version     uint64 `json:"version"` // manifest that it has confirmed to be in force
	Draining    bool   `json:"draining,omitempty"`
	Unreachable bool   `json:"silent,omitempty"`
	SinceHeard  string `json:"heard,omitempty"` // time since the last news
}

// AdmissionStatus is the state of the local target's admission.
type AdmissionStatus struct {
	Limit           float64 `json:"limit"`
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	MeanServiceTime string  `json:"service"` // mean service time
}

// Status is what a node says of itself and of the fleet as it sees it.
type Status struct {
	Self             Member          `json:"self"`
	Version          uint64          `json:"version"`
	StoreReachable   bool            `json:"store"`
	StoreCalls       uint64          `json:"storecalls"`
	ControlBytesSent uint64          `json:"sentbytes"` // control traffic
	CPU              string          `json:"cpu"`
	Calls            int             `json:"calls"`
	Admission        AdmissionStatus `json:"gate"`
	OwnedShards      int             `json:"held"` // shards this node owns
	Members          []Member        `json:"members"`
	Shards           []Shard         `json:"shards"`
}

// Node answers what operators ask of a node.
type Node interface {
	Status(ctx context.Context) (Status, error)
	Drain()
	Ready() bool
}

const readHeaderTimeout = 5 * time.Second

// NewServer returns the operators' side of a node.
func NewServer(s Node) (*http.Server, error) {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog, iris.WithoutServerError(iris.ErrServerClosed))
	app.Get("/status", func(ctx iris.Context) {
		status, err := s.Status(ctx.Request().Context())
		if err != nil {
			ctx.StopWithError(iris.StatusServiceUnavailable, err)
			return
		}
		_ = ctx.JSON(status)
	})
	app.Get("/health", func(ctx iris.Context) {
		if !s.Ready() {
			ctx.StopWithStatus(iris.StatusServiceUnavailable)
			return
		}
		_, _ = ctx.WriteString("ok\n")
	})
	app.Get("/metrics", func(ctx iris.Context) {
		metrics.WritePrometheus(ctx.ResponseWriter(), true)
	})
	app.Post("/drain", func(ctx iris.Context) {
		s.Drain()
		ctx.StatusCode(iris.StatusAccepted)
	})
	if err := app.Build(); err != nil {
		return nil, err
	}
	return &http.Server{Handler: app, ReadHeaderTimeout: readHeaderTimeout}, nil
}
