package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"heatherrelay/internal/objectstore"
)

const (
	// maxQueuedTasks bounds the tasks that wait until the platform is
	// available.
	maxQueuedTasks = 4096
	// maxTaskAttempts bounds the attempts at one task.
	maxTaskAttempts = 30
	taskRetryPause  = time.Second
	// sweepShards is the number of shards, by key prefix, in which the intents
	// are swept.
	sweepShards = 4096
	// maxSweepDeletes bounds the deletes of one sweep.
	maxSweepDeletes = 200
)

// taskKind is the operation that a task does on an intent.
type taskKind int

const (
	// taskStoreReply writes the reply into the intent.
	taskStoreReply taskKind = iota
	// taskDeleteIntent deletes an intent whose call was never sent.
	taskDeleteIntent
)

// intentTask is an operation on an intent that remains after its request was
// answered. A task that is dropped is safe: the intent stays, and the call
// counts as one that may have run. Only a retry of the caller then gets no
// reply.
type intentTask struct {
	claim    claim
	kind     taskKind
	attempts int
}

// taskQueue is the bounded queue of tasks from requests to Run. A task that
// does not fit is dropped and counted.
type taskQueue struct {
	once    sync.Once
	tasks   chan intentTask
	dropped atomic.Uint64
}

func (q *taskQueue) channel() chan intentTask {
	q.once.Do(func() { q.tasks = make(chan intentTask, maxQueuedTasks) })
	return q.tasks
}

func (q *taskQueue) add(task intentTask) {
	select {
	case q.channel() <- task:
	default:
		q.dropped.Add(1)
	}
}

// DroppedTasks returns the number of dropped tasks, each of which would have
// stored a reply or deleted an intent.
func (s *Sender) DroppedTasks() uint64 { return s.tasks.dropped.Load() }

// Run retries the operations on intents that failed while their requests ran,
// and deletes intents past Retention, until ctx ends. It returns nil.
func (s *Sender) Run(ctx context.Context) error {
	sweep := make(<-chan time.Time)
	if s.SweepInterval > 0 && s.Retention > 0 {
		ticker := time.NewTicker(s.SweepInterval)
		defer ticker.Stop()
		sweep = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			s.RunQueuedTasks(context.WithoutCancel(ctx))
			return nil
		case task := <-s.tasks.channel():
			if !s.runTask(ctx, task) {
				s.pause(ctx, taskRetryPause)
			}
		case <-sweep:
			s.Sweep(ctx, rand.IntN(sweepShards))
		}
	}
}

// RunQueuedTasks makes one attempt at each queued task.
func (s *Sender) RunQueuedTasks(ctx context.Context) {
	for range len(s.tasks.channel()) {
		s.runTask(ctx, <-s.tasks.channel())
	}
}

// runTask makes one attempt at a task and reports whether the task is done. It
// queues the task again when the platform is unavailable, up to
// maxTaskAttempts.
func (s *Sender) runTask(ctx context.Context, task intentTask) bool {
	ctx, cancel := context.WithTimeout(ctx, s.storeTimeout())
	defer cancel()
	var err error
	switch task.kind {
	case taskStoreReply:
		err = s.writeReply(ctx, task.claim)
	case taskDeleteIntent:
		err = s.deleteUnsentIntent(ctx, task.claim)
	}
	if err == nil {
		return true
	}
	if task.attempts++; task.attempts >= maxTaskAttempts {
		s.tasks.dropped.Add(1)
		return false
	}
	s.tasks.add(task)
	return false
}

// deleteUnsentIntent deletes an intent if it still belongs to this attempt and
// has no reply.
func (s *Sender) deleteUnsentIntent(ctx context.Context, claimed claim) error {
	found, version, err := s.readIntent(ctx, claimed.key)
	if objectstore.ErrNotFound.Has(err) {
		return nil
	}
	if err != nil {
		return err
	}
	if found.Attempt != claimed.intent.Attempt || found.State != intentSent {
		return nil
	}
	err = s.Store.Delete(ctx, claimed.key, version)
	if objectstore.ErrUnavailable.Has(err) || objectstore.ErrThrottled.Has(err) {
		return err
	}
	return nil
}

// Sweep deletes the intents past Retention in one shard, from 0 to 4095. Each
// delete is conditional on the version that was read, so concurrent sweeps by
// several instances are safe.
func (s *Sender) Sweep(ctx context.Context, shard int) {
	ctx, cancel := context.WithTimeout(ctx, s.storeTimeout())
	defer cancel()
	listing, err := s.Store.List(ctx, fmt.Sprintf("%s%03x", intentPrefix, shard%sweepShards))
	if err != nil {
		return
	}
	deletes := 0
	for _, object := range listing.Objects {
		found, err := decodeIntent(object.Value)
		if err != nil || !found.expired(s.now(), s.Retention) {
			continue
		}
		if deletes++; deletes > maxSweepDeletes || ctx.Err() != nil {
			return
		}
		if err := s.Store.Delete(ctx, object.Key, object.Version); objectstore.ErrThrottled.Has(err) {
			return
		}
	}
}
