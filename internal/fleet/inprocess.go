package fleet

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"celeryshelf/internal/logging"
	"celeryshelf/internal/standalone"
	"celeryshelf/internal/standin"
)

// InProcess is a deployment that runs within this process.
type InProcess struct {
	Plan  Plan
	Store *standin.Store
	nodes map[string]*standalone.Node
	wg    sync.WaitGroup
	mu    sync.Mutex
	errs  []error
}

// StartInProcess starts the store, targets and nodes of a plan. They run until the context
// ends.
func StartInProcess(ctx context.Context, p Plan, logs io.Writer) (*InProcess, error) {
	l := &InProcess{Plan: p, Store: standin.NewStore(), nodes: map[string]*standalone.Node{}}
	stop := make(chan struct{})
	context.AfterFunc(ctx, func() { close(stop) })
	l.wg.Go(func() { l.Store.ExpireLeases(stop) })
	if err := l.serve(ctx, p.Store.String(), l.Store); err != nil {
		return nil, err
	}
	log, err := logging.New(logs, "info")
	if err != nil {
		return nil, err
	}
	for _, v := range p.VMs {
		if err := l.serve(ctx, v.Target.Listen.String(), standin.NewTarget(v.Target)); err != nil {
			return nil, err
		}
		if err := l.startNode(ctx, v, log.With("node", v.Settings.Name)); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *InProcess) serve(ctx context.Context, at string, h http.Handler) error {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return fmt.Errorf("listen for stand-in: %w", err)
	}
	s := &http.Server{Handler: h}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	l.wg.Go(func() { _ = s.Serve(listener) })
	return nil
}

func (l *InProcess) startNode(ctx context.Context, v VM, log *slog.Logger) error {
	// A node drains when ctx ends. It sends its last messages under nodeCtx, which stays
	// valid until the node has stopped.
	nodeCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	node, err := standalone.New(nodeCtx, v.Settings, log)
	if err != nil {
		stop()
		return err
	}
	l.nodes[v.Settings.Name] = node
	l.wg.Go(func() {
		defer stop()
		if err := node.Run(ctx); err != nil {
			l.mu.Lock()
			l.errs = append(l.errs, fmt.Errorf("node %s: %w", v.Settings.Name, err))
			l.mu.Unlock()
		}
	})
	return nil
}

// Drain starts draining a node.
func (l *InProcess) Drain(name string) { l.nodes[name].Drain() }

// Wait waits until the store, targets and nodes have stopped and returns the errors of the
// nodes.
func (l *InProcess) Wait() []error {
	l.wg.Wait()
	return l.errs
}
