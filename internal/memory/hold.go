package memory

import "sync"

// answerFraction is the part of the account that responses may take beyond its size, so that
// requests that targets have run are answered before others are read.
const answerFraction = 4

// Hold is what an account holds for the responses to one request. It never waits and never
// gives way. The zero value has no bound. It is safe for concurrent use.
type Hold struct {
	// Account is charged; nil means no bound. Set it before the first use.
	Account *Account

	mu   sync.Mutex
	held int64
	done bool
}

// Add adds bytes that are about to be held, or gives some back. It fails with ErrShort.
func (h *Hold) Add(n int64) error {
	if h == nil || h.Account == nil || h.Account.Size == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.done {
		return nil
	}
	if err := h.Account.addAnswer(n); err != nil {
		return err
	}
	h.held += n
	return nil
}

// Release gives back all bytes; later ones are not counted.
func (h *Hold) Release() {
	if h == nil || h.Account == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.done = true
	if h.held != 0 {
		// Bytes that are given back always have room.
		_ = h.Account.addAnswer(-h.held)
		h.held = 0
	}
}

func (a *Account) addAnswer(n int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > 0 && a.used+n > a.Size+a.Size/answerFraction {
		return ErrShort.New("no room for %d bytes of a response beside %d", n, a.used)
	}
	a.used += n
	if n < 0 {
		a.wake()
	}
	return nil
}
