package sidecar

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"celeryshelf/internal/settings"
)

// pollInterval is the interval at which the settings file is checked for changes,
// as not every change is announced by a SIGHUP.
const pollInterval = 2 * time.Second

// applier applies changed settings.
type applier interface {
	Apply(s settings.Sidecar)
}

// reloader applies changes to the settings file. If the file is invalid, the current
// settings stay in force and the error is logged once.
type reloader struct {
	file      string
	inForce   settings.Sidecar
	lastError string // last error logged, empty if the file was valid when last read
	node      applier
	log       *slog.Logger
}

// run checks the file at every SIGHUP and every pollInterval, until the context is done.
func (r *reloader) run(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hangup:
			r.log.Info("reload", "cause", "SIGHUP")
			r.reload()
		case <-ticker.C:
			r.reload()
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the file and applies its changes. A change of a setting that needs a restart
// is logged.
func (r *reloader) reload() {
	next, err := settings.ReadSidecar(r.file)
	if err != nil {
		if err.Error() != r.lastError {
			r.lastError = err.Error()
			r.log.Warn("settings-refused", "error", err)
		}
		return
	}
	r.lastError = ""
	if reflect.DeepEqual(*next, r.inForce) {
		return
	}
	if fixed := r.inForce.Static(); fixed != next.Static() {
		r.log.Warn("settings-need-restart", "name", next.Name)
	}
	r.inForce = *next
	r.node.Apply(*next)
	r.log.Info("settings-reloaded", "revoke", next.MaxRevocationDelay, "loglevel", next.Log.Level)
}
