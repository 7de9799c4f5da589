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
	r.tracker.targets[r.target].WaitingTokens -= tokens
	r.use.WaitingTokens -= tokens
}
