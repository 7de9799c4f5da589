package inflight

// SkipPrefill records that the target need not prefill some of the request's prompt tokens:
// they do not count as waiting. It has no effect after the first event or the end.
func (r *TrackedRequest) SkipPrefill(tokens int) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.ended {
		return
	}
	tokens = min(max(tokens, 0), r.use.WaitingTokens)
	rest := r.use
	rest.WaitingTokens -= tokens
	for rank := range rest.Ranked {
		rest.Ranked[rank].WaitingTokens = max(rest.Ranked[rank].WaitingTokens-tokens, 0)
	}
	change := rest
	change.Add(r.use.Negative())
	r.tracker.targets[r.target].Add(change)
	r.use = rest
}
