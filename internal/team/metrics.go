package team

import "github.com/prometheus/client_golang/prometheus"

// Collector exports an instance's allowances as Prometheus metrics.
type Collector struct {
	Allowances *Allowances
}

func newDescription(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName("heatherrelay", "allowance", name), help, labels, nil)
}

var (
	balanceDescription       = newDescription("balance_tokens", "Tokens of a team that this instance may spend now.", "team")
	teamsPartDescription     = newDescription("teams_part", "Part of all teams' rates that this instance owns.")
	loadsPartDescription     = newDescription("loads_part", "Part of the weight store's rate that this instance owns.")
	requestedDescription     = newDescription("transfers_asked_total", "Transfers that this instance asked peers for.")
	answeredDescription      = newDescription("transfers_given_total", "Transfer requests that this instance answered.")
	receivedDescription      = newDescription("received_tokens_total", "Tokens received from peers.")
	grantedTokensDescription = newDescription("given_tokens_total", "Tokens given to peers.")
	interruptionsDescription = newDescription("claim_interruptions_total", "Pauses after which the claim had to be read again.")
)

// Describe implements prometheus.Collector.
func (c Collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		balanceDescription, teamsPartDescription, loadsPartDescription, requestedDescription, answeredDescription,
		receivedDescription, grantedTokensDescription, interruptionsDescription,
	} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c Collector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	counter := func(d *prometheus.Desc, value float64) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, value)
	}
	for name, tokens := range c.Allowances.balances() {
		gauge(balanceDescription, tokens, name)
	}
	claim, counters := c.Allowances.Claim(), c.Allowances.Counters()
	gauge(teamsPartDescription, claim.Teams)
	gauge(loadsPartDescription, claim.Loads)
	counter(requestedDescription, float64(counters.TransfersRequested))
	counter(answeredDescription, float64(counters.TransfersAnswered))
	counter(receivedDescription, counters.TokensReceived)
	counter(grantedTokensDescription, counters.TokensGranted)
	counter(interruptionsDescription, float64(counters.ClaimInterruptions))
}
