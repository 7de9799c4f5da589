package catalog

import (
	"go.uber.org/zap"

	"heatherrelay/internal/platformstore"
)

// skippedObjects counts objects that nobody can use, for one log line however many there are.
type skippedObjects struct {
	count    int
	firstErr error
}

func (s *skippedObjects) add(err error) {
	if s.count++; s.count == 1 {
		s.firstErr = err
	}
}

func (s *skippedObjects) log(l *zap.Logger, kind platformstore.Kind) {
	if s.count > 0 {
		l.Warn("objects cannot be used, skipped", zap.String("kind", string(kind)), zap.Int("objects", s.count), zap.Error(s.firstErr))
	}
}
