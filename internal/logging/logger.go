package logging

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
)

// New returns a logger that writes lines such as "time=... level=info event=started".
func New(w io.Writer, level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l, ReplaceAttr: renameAttr})), nil
}

// renameAttr changes the key of the message to event and the level to lower case.
func renameAttr(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return a
	}
	switch a.Key {
	case slog.MessageKey:
		a.Key = "event"
	case slog.LevelKey:
		a.Value = slog.StringValue(strings.ToLower(a.Value.String()))
	}
	return a
}
