package agent

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes one line of key=value pairs an event.
func NewLogger(w io.Writer, level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, fmt.Errorf("log level: %w", err)
	}
	out := zerolog.ConsoleWriter{
		Out:        w,
		NoColor:    true,
		TimeFormat: time.RFC3339Nano,
		FormatTimestamp: func(v any) string {
			return fmt.Sprintf("time=%v", v)
		},
		FormatLevel:   func(v any) string { return fmt.Sprintf("level=%v", v) },
		FormatMessage: func(v any) string { return fmt.Sprintf("event=%v", v) },
	}
	return zerolog.New(out).Level(l).With().Timestamp().Logger(), nil
}
