package gatewayinstance

import (
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/memory"
)

const (
	// bodiesFraction is the part of an instance's memory that bodies of requests and
	// responses may take. The rest is for what it knows of the fleet, connections, and
	// garbage.
	bodiesFraction = 0.3
	// defaultMemoryMB is the memory of an instance whose settings name none.
	defaultMemoryMB = 1024
)

// newMemoryAccount returns the account of the bodies that the instance holds.
func (i *Instance) newMemoryAccount() *memory.Account {
	megabytes := i.Settings.MemoryMB
	if megabytes == 0 {
		megabytes = defaultMemoryMB
	}
	return &memory.Account{Size: int64(bodiesFraction * megabytes * (1 << 20)), Now: time.Now, OnEvict: i.logEviction}
}

// logEviction logs that a body that did not arrive has given way to others.
func (i *Instance) logEviction(o memory.Owner, held int64, stalled time.Duration) {
	i.Log.Info("body of a request gave way to others", zap.Stringer("address", o.Address), zap.String("team", o.Team),
		zap.Int64("bytes", held), zap.Duration("stalled", stalled))
}
