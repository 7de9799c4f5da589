package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// enginesOfVersion is the number of engines of each of two software versions.
	enginesOfVersion = 3
	// longEvents and longGap make a stream last six seconds.
	longEvents = 60
	longGap    = 100 * time.Millisecond
	// streamGap is the time between two new streams, streamAdapters the number of adapters
	// that they ask for.
	streamGap      = 54 * time.Millisecond
	streamAdapters = 1000
	// fullTime is the time from the first stream until an engine crashes, countTime the time
	// after that in which streams are counted.
	fullTime  = 12 * time.Second
	countTime = 5 * time.Second
	// crashes is how many engines crash, one after the other, of each version in turn.
	// Another engine takes the place of each after backTime; crashTurn is the time from one
	// crash to the next.
	crashes   = 3
	backTime  = 4 * time.Second
	crashTurn = 13 * time.Second
	// takeUpPause is how long a client waits before it takes a stream up again.
	takeUpPause = 150 * time.Millisecond
	// leastTakenUp is the number of streams taken up from which the rule counts.
	leastTakenUp = 12
)

// tally counts the streams that began and those that were taken up.
type tally struct {
	mu                    sync.Mutex
	counting              bool
	fresh, begun, up, got int
}

// count counts an attempt, if its time counts.
func (t *tally) count(takenUp, began bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.counting:
	case takenUp && began:
		t.up, t.got = t.up+1, t.got+1
	case takenUp:
		t.up++
	case began:
		t.fresh, t.begun = t.fresh+1, t.begun+1
	default:
		t.fresh++
	}
}

// setCounting begins or ends the time that counts.
func (t *tally) setCounting(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counting = on
}

// held reports whether the share of streams taken up that go on is at least half of the share
// of new ones that begin.
func (t *tally) held(r *record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.add("of %d streams taken up %d went on, of %d new ones %d began", t.up, t.got, t.fresh, t.begun)
	if t.up < leastTakenUp || t.fresh == 0 {
		return true
	}
	return 2*float64(t.got)/float64(t.up) >= float64(t.begun)/float64(t.fresh)
}

// resume checks the rule LOST of streams that clients take up again while two software versions
// serve. The disruption is that three engines crash, one after the other.
func resume(r *record, trouble bool) (held bool, err error) {
	s, err := newSite(func(s *site) error {
		for n := range 2 * enginesOfVersion {
			settings := engineSettings{version: fmt.Sprint("v", n%2+1), events: longEvents, gap: longGap}
			if err := s.addEngine(fmt.Sprint("engine-", n+1), settings, r); err != nil {
				return err
			}
		}
		return nil
	})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	counts, stop := &tally{}, make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { s.repeat(streamGap, stop, func(n int) { s.read(r, counts, n) }) })
	time.Sleep(fullTime)
	for n := range crashes {
		if err = s.crashOne(r, counts, n, trouble); err != nil {
			break
		}
	}
	close(stop)
	clients.Wait()
	return counts.held(r), err
}

// crashOne crashes the busiest engine of a version, and counts streams for a while.
func (s *site) crashOne(r *record, counts *tally, n int, trouble bool) error {
	begunAt := time.Now()
	counts.setCounting(true)
	if trouble {
		e := s.busiest(fmt.Sprint("v", n%2+1))
		e.crash()
		e.crashed = true
		time.AfterFunc(lapseTime, func() { s.store.Delete("servers", e.id) })
		time.Sleep(backTime)
		if err := s.addEngine(fmt.Sprint("engine-", 2*enginesOfVersion+n+1), e.engineSettings, r); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(begunAt.Add(countTime)))
	counts.setCounting(false)
	time.Sleep(time.Until(begunAt.Add(crashTurn)))
	return nil
}

// busiest returns the engine of a version that runs the most streams.
func (s *site) busiest(version string) *engine {
	var best *engine
	most := -1
	for _, e := range s.engines {
		if runs := e.runs(); e.version == version && !e.crashed && runs > most {
			best, most = e, runs
		}
	}
	return best
}

// attempt is one request for a stream.
type attempt struct {
	id, adapter string
	// after is the last event that the client has, resumes the attempt that brought the first.
	after   int
	resumes string
}

// read reads a stream, and takes it up once if it breaks off.
func (s *site) read(r *record, counts *tally, n int) {
	a := attempt{id: fmt.Sprint("stream-", n), adapter: fmt.Sprint("a", rand.IntN(streamAdapters))}
	last, complete := s.try(r, s.instances[n%len(s.instances)], a)
	counts.count(false, last > 0)
	if complete || last == 0 {
		return
	}
	time.Sleep(takeUpPause)
	a.id, a.after, a.resumes = a.id+"-again", last, a.id
	latest, _ := s.try(r, s.instances[(n+1)%len(s.instances)], a)
	counts.count(true, latest > last)
}

// try sends an attempt, and returns the last event that came and whether the stream is
// complete.
func (s *site) try(r *record, i *instance, a attempt) (last int, complete bool) {
	request, err := http.NewRequest(http.MethodPost, "http://"+i.clients.String()+"/stream/draft", http.NoBody)
	if err != nil {
		return 0, false
	}
	request.Host, request.Close = host, true
	for name, value := range map[string]string{
		requestID: a.id, "Key": key, "Deadline-Ms": "15000", "Model": model + "/" + a.adapter, "Token-Count": "100,30", "Prompt-Prefix": fmt.Sprintf("%x:100", a.id),
	} {
		request.Header.Set(name, value)
	}
	if a.after > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(a.after))
		request.Header.Set("Resumes", a.resumes)
	}
	client := &http.Client{Timeout: 15 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		r.add("%s to %s: %v", a.id, i.id, err)
		return a.after, false
	}
	last = a.after
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok && response.StatusCode == http.StatusOK {
			if number, err := strconv.Atoi(text); err == nil {
				last = number
			}
		}
	}
	err = errors.Join(lines.Err(), response.Body.Close())
	r.add("%s for %s to %s after %d: status %d, up to event %d, %v", a.id, a.adapter, i.id, a.after, response.StatusCode, last, err)
	return last, err == nil && response.StatusCode == http.StatusOK
}
