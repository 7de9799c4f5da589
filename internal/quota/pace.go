package quota

import (
	"math"
	"time"
)

const (
	// paceRetention is how long a team is paced after it last went beyond its allowance,
	// or last asked an instance for more than its part.
	paceRetention = 3 * time.Second
	// paceHalfLife is the time after which what was admitted counts half towards an
	// instance's part of it.
	paceHalfLife = 2 * time.Second
	// leastPart is the least part of a team's rate that an instance admits, as a fraction
	// of the part that it would have if all had the same: one that gets its requests from
	// now on has admitted none yet.
	leastPart = 0.5
	// paceDepth is the time for which an instance may save its part.
	paceDepth = 500 * time.Millisecond
)

// pace limits what this instance admits of a team that asks for more than its allowance.
// The instances learn some hundred milliseconds late what the others admit: without a pace
// all of them admit whatever comes each time that the allowance has refilled, and together
// many times what it holds. Each instance therefore admits its own part of the rate, which
// is its part of what all of them admitted lately. The zero value paces nothing.
type pace struct {
	// level is what this instance may admit now. A request is admitted while it is above
	// zero, whatever it costs; the next ones wait for the debt.
	level float64
	// own and others are what this instance and the others admitted lately.
	own, others decayedAmount
	until       time.Time
}

// decayedAmount is an amount that decays with paceHalfLife.
type decayedAmount struct {
	amount    float64
	updatedAt time.Time
}

func (d *decayedAmount) value(now time.Time) float64 {
	return d.amount * math.Exp2(-now.Sub(d.updatedAt).Seconds()/paceHalfLife.Seconds())
}

func (d *decayedAmount) add(amount float64, now time.Time) {
	d.amount, d.updatedAt = max(d.value(now)+amount, 0), now
}

// begin paces the team from now on.
func (p *pace) begin(now time.Time) {
	if !p.inForce(now) {
		p.level = 0
	}
	p.until = now.Add(paceRetention)
}

func (p *pace) inForce(now time.Time) bool { return now.Before(p.until) }

// part returns this instance's part of what the instances admit.
func (p *pace) part(now time.Time, members int) float64 {
	least := leastPart / float64(members)
	own := p.own.value(now)
	all := own + p.others.value(now)
	if all <= 0 {
		return 1 / float64(members)
	}
	return min(max(own/all, least), 1)
}

// refill adds what accrued in a time at the instance's part of a rate.
func (p *pace) refill(now time.Time, elapsed time.Duration, rate float64, members int) {
	if !p.inForce(now) {
		return
	}
	part := rate * p.part(now, members)
	p.level = min(p.level+elapsed.Seconds()*part, paceDepth.Seconds()*part)
}

// allows reports whether the instance may admit a request, and keeps the pace if it may not.
func (p *pace) allows(now time.Time) bool {
	if !p.inForce(now) || p.level > 0 {
		return true
	}
	p.until = now.Add(paceRetention)
	return false
}

// spend deducts what this instance admits.
func (p *pace) spend(cost float64, now time.Time) {
	p.own.add(cost, now)
	p.level -= cost
}

// wait returns the time until the instance may admit a request.
func (p *pace) wait(now time.Time, rate float64, members int) time.Duration {
	if !p.inForce(now) || p.level > 0 {
		return 0
	}
	return time.Duration(-p.level / (rate * p.part(now, members)) * float64(time.Second))
}
