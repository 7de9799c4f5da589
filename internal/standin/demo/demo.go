// Package demo runs stand-ins and three instances in three zones in one
// process, on loopback addresses and with a sample release, to try the system
// out.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"heatherrelay/internal/instance"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/publication"
	"heatherrelay/internal/standin"
)

// Size and timing of the demo.
const (
	enginesPerZone = 2
	serviceName    = "dispatch"
	baseModel      = "base"
	startTimeout   = time.Minute
	pollInterval   = 100 * time.Millisecond
	drainDelay     = 100 * time.Millisecond
)

var zones = []string{"landerneau", "lesneven", "saint-pol"}

// ErrDemo is the class of errors of the demo itself.
var ErrDemo = errs.Class("demo")

// Demo runs a platform, engines, a service and instances. It publishes the
// sample release, waits until it is in force on every instance, sends one
// streamed model request and one service call, and prints commands to try next.
// Set exported fields before Run.
type Demo struct {
	// Out receives the answers and the commands to try next.
	Out io.Writer
	// Log receives the instances' logs.
	Log *zap.Logger
	// Once ends the demo after the two answers.
	Once bool

	platform        standin.Platform
	platformAddress netip.AddrPort
	servers         []*standin.Server
	targets         []objectstore.TargetEntry
	instances       []objectstore.InstanceEntry
	callerAddresses []netip.AddrPort
	sample          sample
}

// Run runs the demo until ctx ends, and then shuts all instances and stand-ins
// down gracefully.
func (d *Demo) Run(ctx context.Context) error {
	defer d.close()
	if err := d.startStandins(); err != nil {
		return err
	}
	instancesCtx, stop := context.WithCancel(ctx)
	results := make(chan error, len(zones))
	var background conc.WaitGroup
	defer background.Wait()
	defer stop()
	for n, zone := range zones {
		if err := d.startInstance(instancesCtx, &background, results, fmt.Sprintf("instance-%d", n+1), zone); err != nil {
			return err
		}
	}
	d.platform.SetInstances(d.instances)
	if err := d.runSample(ctx); err != nil {
		return err
	}
	if !d.Once {
		fmt.Fprintln(d.Out, "Interrupt to end.")
		<-ctx.Done()
		fmt.Fprintln(d.Out, "Shutting down.")
	}
	stop()
	background.Wait()
	for range zones {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) startStandins() error {
	if err := d.startPlatform(); err != nil {
		return err
	}
	service := &standin.Service{Name: serviceName}
	address, err := d.start(service.Start)
	if err != nil {
		return err
	}
	for _, zone := range zones {
		d.targets = append(d.targets, objectstore.TargetEntry{
			ID: zone + "-" + serviceName, Zone: zone, Kind: objectstore.TargetService, Address: address, Service: serviceName,
		})
		for n := range enginesPerZone {
			if err := d.startEngine(zone, n); err != nil {
				return err
			}
		}
	}
	d.platform.SetTargets(d.targets)
	return nil
}

func (d *Demo) startPlatform() error {
	address, err := d.start(d.platform.Start)
	d.platformAddress = address
	return err
}

func (d *Demo) startEngine(zone string, n int) error {
	e := &standin.Engine{
		ID:            fmt.Sprintf("%s-engine-%d", zone, n),
		BaseModel:     baseModel,
		ChecksFencing: n == 0,
		Weights:       standin.WeightSource{URL: "http://" + d.platformAddress.String()},
	}
	address, err := d.start(e.Start)
	if err != nil {
		return err
	}
	d.targets = append(d.targets, objectstore.TargetEntry{
		ID: e.ID, Zone: zone, Kind: objectstore.TargetEngine, Address: address, BaseModel: baseModel,
	})
	return nil
}

// start starts a stand-in on a loopback address and returns the address.
func (d *Demo) start(start func(netip.AddrPort) (*standin.Server, error)) (netip.AddrPort, error) {
	server, err := start(standin.Loopback)
	if err != nil {
		return netip.AddrPort{}, err
	}
	d.servers = append(d.servers, server)
	return server.Address, nil
}

func (d *Demo) close() {
	for _, s := range d.servers {
		if err := s.Close(); err != nil {
			d.Log.Warn("standin_not_closed", zap.Error(err))
		}
	}
}

// startInstance starts an instance and waits until it listens.
func (d *Demo) startInstance(ctx context.Context, background *conc.WaitGroup, results chan<- error, id, zone string) error {
	listening := make(chan instance.Addresses, 1)
	stopped := make(chan error, 1)
	i := &instance.Instance{
		Settings:    d.settings(id, zone),
		Log:         d.Log.With(zap.String("instance", id)),
		OnListening: func(a instance.Addresses) { listening <- a },
	}
	background.Go(func() {
		err := i.Run(ctx)
		stopped <- err
		results <- err
	})
	select {
	case a := <-listening:
		d.callerAddresses = append(d.callerAddresses, a.Callers)
		d.instances = append(d.instances, objectstore.InstanceEntry{ID: id, Zone: zone, State: objectstore.InstanceLive, Peer: a.Peers})
		return nil
	case err := <-stopped:
		return ErrDemo.New("%s: %v", id, err)
	}
}

// runSample publishes the sample release, sends the two calls and prints
// commands to try next.
func (d *Demo) runSample(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	store := (&objectstore.Client{Address: d.platformAddress}).Store()
	if err := d.sample.load(); err != nil {
		return err
	}
	attempt, err := (&publication.Publisher{Store: store}).Publish(ctx, d.sample.note)
	if err != nil {
		return err
	}
	if err := d.awaitRelease(ctx, publication.StatusReader{Store: store}, attempt.Number); err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "Release note %d is in force on %d instances in %d zones.\n\n", attempt.Number, len(d.instances), len(zones))
	if err := d.showStream(ctx); err != nil {
		return err
	}
	if err := d.showCall(ctx); err != nil {
		return err
	}
	d.printNextCommands()
	return nil
}

func (d *Demo) awaitRelease(ctx context.Context, reader publication.StatusReader, number uint64) error {
	for {
		if status, err := reader.Read(ctx, number); err == nil && status.InForce {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrDemo.New("release note %d is not in force everywhere: %v", number, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// caller returns a caller that sends requests to the n-th instance with the key
// of the team crews.
func (d *Demo) caller(n int) *standin.Caller {
	return &standin.Caller{URL: "http://" + d.callerAddresses[n].String(), Key: d.sample.crews.Text()}
}

func (d *Demo) showStream(ctx context.Context) error {
	tokens := 24
	request := standin.CompletionRequest{Model: sampleAdapter, Prompt: samplePrompt, MaxTokens: &tokens, Stream: true}
	for {
		reply, err := d.caller(0).Complete(ctx, request)
		if err != nil {
			return err
		}
		if reply.IsComplete(request) {
			fmt.Fprintf(d.Out, "Streamed answer of %s to %q:\n%s\n\n", reply.Model, request.Prompt, reply.Text)
			return nil
		}
		if reply.Refusal == nil || !reply.Refusal.NotRun {
			return ErrDemo.New("status %d: %+v", reply.Status, reply.Refusal)
		}
		if !sleep(ctx, max(pollInterval, time.Duration(reply.Refusal.RetryAfterMS)*time.Millisecond)) {
			return ErrDemo.New("status %d: %s", reply.Status, reply.Refusal.Message)
		}
	}
}

func (d *Demo) showCall(ctx context.Context) error {
	header := http.Header{"Content-Type": {"text/plain"}, "Idempotency-Key": {"round-7"}}
	reply, err := d.caller(1).Call(ctx, http.MethodPost, "/services/dispatch/rounds/7", []byte("mow the lane"), header)
	if err != nil {
		return err
	}
	if reply.Status != http.StatusOK {
		return ErrDemo.New("status %d: %s", reply.Status, reply.Body)
	}
	fmt.Fprintf(d.Out, "Answer of the service %s:\n%s\n\n", serviceName, reply.Body)
	return nil
}

// sleep waits for d and returns true, or returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
