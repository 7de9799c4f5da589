package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"heatherrelay/platform/platformtest"
)

// strayTexts are no events of a stream.
var strayTexts = []string{
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 6\r\n\r\nbroken",
	"error: no engine\n\n", "event: error\ndata: no engine\n\n", "no engine\n\n",
}

// strayFault has an engine send text that is no event within a stream, and end it.
var strayFault = fault{"an engine sends text that is no event", func(c *Cluster, random *rand.Rand) {
	text, after := strayTexts[random.IntN(len(strayTexts))], 1+random.IntN(eventCount-1)
	c.randomEngine(random).Inject(func(t *platformtest.Target) { t.StrayText, t.StrayAfter = text, after })
}}

// emptyRestFault has an engine break off a stream, and another one answer requests for the
// rest of streams without an event.
var emptyRestFault = fault{"an engine has nothing to send of the rest of streams", func(c *Cluster, random *rand.Rand) {
	breakFault.inject(c, random)
	c.randomEngine(random).Inject(func(t *platformtest.Target) { t.EmptyRests = 1 + random.IntN(3) })
}}

// staleFault has instances stand still while engines of a new version begin streams and crash.
var staleFault = fault{"instances stand still during a release", func(c *Cluster, random *rand.Rand) {
	var group sync.WaitGroup
	for range 1 + random.IntN(max(len(c.Processes)/4, 1)) {
		p := c.randomProcess(random)
		group.Go(func() { c.pauseFor(p, stalePause) })
	}
	group.Go(func() { releaseFault.inject(c, random) })
	time.Sleep(stalePause - 100*time.Millisecond)
	crashFault.inject(c, random)
	group.Wait()
}}

// stalePause is how long instances stand still during a release.
const stalePause = 3 * time.Second
