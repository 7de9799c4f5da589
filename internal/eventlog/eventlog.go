// Package eventlog writes an instance's log: one JSON line for each event.
package eventlog

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// sampleEvery is the time over which lines with the same level and message
	// are counted; after sampleFirst of them only each sampleThen-th is written.
	sampleEvery = time.Second
	sampleFirst = 200
	sampleThen  = 100
)

// New returns a logger of JSON lines with times as text and durations such as
// "1.5s". Lines that repeat within a second are sampled. It fails on a level
// that does not exist.
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
	sampled := zapcore.NewSamplerWithOptions(shortErrors{Core: core}, sampleEvery, sampleFirst, sampleThen)
	return zap.New(sampled), nil
}

// shortErrors writes errors without their stack traces.
type shortErrors struct {
	zapcore.Core
}

// With adds fields to all lines.
func (s shortErrors) With(fields []zapcore.Field) zapcore.Core {
	return shortErrors{Core: s.Core.With(short(fields))}
}

// Check adds s to a line that is to be written.
func (s shortErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if s.Enabled(entry.Level) {
		return checked.AddCore(entry, s)
	}
	return checked
}

// Write writes a line.
func (s shortErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return s.Core.Write(entry, short(fields))
}

func short(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, 0, len(fields))
	for _, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out = append(out, f)
	}
	return out
}
