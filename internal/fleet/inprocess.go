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

// InProcess runs a plan within this process.
type InProcess struct {
	Plan   Plan
	Store  *standin.Store
	agents map[string]*standalone.Node
	group  sync.WaitGroup
	mu     sync.Mutex
	errs   []error
}

// StartInProcess starts every part of a plan; they work until the context ends.
func StartInProcess(ctx context.Context, p Plan, logs io.Writer) (*InProcess, error) {
	l := &InProcess{Plan: p, Store: standin.NewStore(), agents: map[string]*standalone.Node{}}
	stop := make(chan struct{})
	context.AfterFunc(ctx, func() { close(stop) })
	l.group.Go(func() { l.Store.ExpireLeases(stop) })
	if err := l.serve(ctx, p.Store.String(), l.Store); err != nil {
		return nil, err
	}
	log, err := logging.New(logs, "info")
	if err != nil {
		return nil, err
	}
	for _, u := range p.VMs {
		if err := l.serve(ctx, u.Target.Listen.String(), standin.NewTarget(u.Target)); err != nil {
			return nil, err
		}
		if err := l.start(ctx, u, log.With("node", u.Settings.Name)); err != nil {
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
	l.group.Go(func() { _ = s.Serve(listener) })
	return nil
}

func (l *InProcess) start(ctx context.Context, u VM, log *slog.Logger) error {
	// The agents drain when the context ends, so they need one of their own to
	// send the last messages under.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	a, err := standalone.New(work, u.Settings, log)
	if err != nil {
		stop()
		return err
	}
	l.agents[u.Settings.Name] = a
	l.group.Go(func() {
		defer stop()
		if err := a.Run(ctx); err != nil {
			l.mu.Lock()
			l.errs = append(l.errs, fmt.Errorf("node %s: %w", u.Settings.Name, err))
			l.mu.Unlock()
		}
	})
	return nil
}

// Drain starts the departure of a node.
func (l *InProcess) Drain(name string) { l.agents[name].Drain() }

// Wait waits until every part has ended and returns what went wrong.
func (l *InProcess) Wait() []error {
	l.group.Wait()
	return l.errs
}
