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

// pollInterval is how often the settings file is read for a change that no signal
// has announced.
const pollInterval = 2 * time.Second

// applier takes in settings that have changed.
type applier interface {
	Apply(s settings.Sidecar)
}

// reloader follows the settings file. A file that cannot be used leaves the
// settings in force and is reported once.
type reloader struct {
	file    string
	inForce settings.Sidecar
	refused string // the last error reported
	node    applier
	log     *slog.Logger
}

// run works until the context ends.
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

// reload reads the file and applies what has changed.
func (r *reloader) reload() {
	next, err := settings.ReadSidecar(r.file)
	if err != nil {
		if err.Error() != r.refused {
			r.refused = err.Error()
			r.log.Warn("settings-refused", "error", err)
		}
		return
	}
	r.refused = ""
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
