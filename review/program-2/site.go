package main

import (
	"fmt"
	"os"
	"sync/atomic"

	"heatherrelay/platform/platformtest"
)

// site is a small deployment: three instances in two zones before targets.
type site struct {
	store     *platformtest.Store
	dir       string
	instances []*instance
	engines   []*engine
	links     []*link
	// stopped holds the instance that is being stopped.
	stopped atomic.Pointer[instance]
}

// engineZone is the zone of the engines.
const engineZone = "z1"

// newSite starts a deployment, and waits until it is ready. addTargets adds its targets.
func newSite(addTargets func(*site) error) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{store: platformtest.NewStore(), dir: dir}
	publish(s.store)
	if err := addTargets(s); err != nil {
		return s, err
	}
	for _, i := range []struct{ id, zone string }{{"front-1", "z1"}, {"front-2", "z1"}, {"front-3", "z2"}} {
		in, err := newInstance(dir, i.id, i.zone)
		if err != nil {
			return s, err
		}
		s.instances = append(s.instances, in)
		if err := in.start(s.store.Address()); err != nil {
			return s, err
		}
	}
	for _, i := range s.instances {
		if err := i.awaitReady(); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *site) addEngine(id string, settings engineSettings, r *record) error {
	e, err := newEngine(id, engineZone, settings, r)
	if err != nil {
		return err
	}
	l, err := newLink(e.listener.Addr().String())
	if err != nil {
		return err
	}
	s.engines, s.links = append(s.engines, e), append(s.links, l)
	s.store.Put("servers", id, e.entry(l.listener.Addr().String()))
	return nil
}

// close ends all processes.
func (s *site) close() {
	for _, i := range s.instances {
		i.kill()
	}
	s.store.Close()
	if err := os.RemoveAll(s.dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
