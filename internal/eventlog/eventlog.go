// Package eventlog writes a process's log, as one JSON line per event.
package eventlog

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// sampleInterval is the period over which lines with the same level and message
	// are counted. After the first sampleFirst of them, only every
	// sampleThereafter-th is written.
	sampleInterval   = time.Second
	sampleFirst      = 200
	sampleThereafter = 100
)

// New returns a logger that writes JSON lines to out, with times in RFC 3339 and
// durations as text, such as "1.5s". Lines with the same level and message are
// sampled if more than 200 occur within a second. New fails on an unknown level.
func New(level string, out io.Writer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(out)), parsed)
	sampled := zapcore.NewSamplerWithOptions(plainErrorCore{Core: core}, sampleInterval, sampleFirst, sampleThereafter)
	return zap.New(sampled), nil
}

// plainErrorCore is a core that writes errors without their stack traces, which the
// encoder would add as errorVerbose.
type plainErrorCore struct {
	zapcore.Core
}

// With returns a core that adds fields to all lines.
func (c plainErrorCore) With(fields []zapcore.Field) zapcore.Core {
	return plainErrorCore{Core: c.Core.With(withoutStackTraces(fields))}
}

// Check adds c as a writer of the entry if its level is enabled.
func (c plainErrorCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write writes an entry with its fields.
func (c plainErrorCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, withoutStackTraces(fields))
}

// withoutStackTraces returns fields with each error replaced by its message.
func withoutStackTraces(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, 0, len(fields))
	for _, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out = append(out, f)
	}
	return out
}
