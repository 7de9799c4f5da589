package memory

import (
	"sync"
	"time"
)

// responsePatience is how long a response waits for memory while its target is not read.
const responsePatience = time.Second

// Hold is what an account holds for the responses to one request. While they arrive it does
// not give way; a response that its client does not take may. The zero value and nil have no
// bound. It is safe for concurrent use, as attempts run beside each other.
type Hold struct {
	// Account is charged; nil means no bound. Set it before the first use.
	Account *Account

	mu     sync.Mutex
	charge *Charge
	done   bool
}

// Add adds bytes that are about to be held, or gives some back. It fails with ErrShort.
func (h *Hold) Add(n int64) error {
	if h == nil || h.Account == nil || h.Account.Size == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.done:
		return nil
	case h.charge == nil:
		h.charge = &Charge{account: h.Account, response: true}
	}
	if n < 0 {
		h.charge.Shrink(-n)
		return nil
	}
	return h.charge.Grow(n, responsePatience)
}

// Offer has the response give way, by a call of evict, if the client that takes it makes no
// progress while others wait for memory.
func (h *Hold) Offer(o Owner, evict func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.charge == nil || h.done {
		return
	}
	a := h.Account
	a.mu.Lock()
	defer a.mu.Unlock()
	h.charge.owner, h.charge.evict = o, evict
	a.register(h.charge)
}

// Progress records that the client has taken bytes. It is called by one goroutine at a time,
// after Offer.
func (h *Hold) Progress(n int) {
	if h.charge != nil {
		h.charge.Progress(n)
	}
}

// Release gives back all bytes; later ones are not counted.
func (h *Hold) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.done = true
	h.charge.Close()
}
