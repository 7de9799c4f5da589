package peer

import (
	"strings"
	"time"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
)

// What instances admitted travels as it is, one amount for each instance, incarnation and
// team: sums could not be told apart when the relay that forms them changes.

// admittedKey identifies what one incarnation of an instance admitted of a team's
// requests.
type admittedKey struct{ instance, incarnation, team string }

// admittedRecord is the amount that an incarnation admitted since it started.
type admittedRecord struct {
	zone string
	// sequence orders the amounts of one key.
	sequence uint64
	amount   float64
	// admittingFor is how long the incarnation had been admitting requests.
	admittingFor time.Duration
}

// admittedUpdate is a record received from another instance.
type admittedUpdate struct {
	admittedKey
	admittedRecord
}

// incarnationName returns the name under which an incarnation is sent.
func incarnationName(instance, incarnation, zone string) string {
	return instance + "#" + incarnation + "#" + zone
}

// parseIncarnationName reverses incarnationName; false if the name has another form.
func parseIncarnationName(name string) (instance, incarnation, zone string, ok bool) {
	parts := strings.Split(name, "#")
	if len(parts) != 3 || parts[0] == "" {
		return "", "", "", false
	}
	return parts[0], parts[1], parts[2], true
}

// applyAdmitted stores the records that are newer than the known ones, and passes their
// amounts to the meter in that order.
func (n *Network) applyAdmitted(updates []admittedUpdate) {
	if len(updates) == 0 {
		return
	}
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	type incarnation struct{ instance, incarnation string }
	amounts, admittingFor := map[incarnation]map[string]float64{}, map[incarnation]time.Duration{}
	n.mu.Lock()
	for _, u := range updates {
		if u.instance == "" || u.instance == n.Self.ID {
			continue
		}
		known, ok := n.admitted[u.admittedKey]
		if ok && u.sequence <= known.sequence {
			continue
		}
		n.admitted[u.admittedKey] = u.admittedRecord
		if ok && known.amount == u.amount {
			continue
		}
		n.log.admitted.touch(u.admittedKey, n.log.next())
		i := incarnation{u.instance, u.incarnation}
		if amounts[i] == nil {
			amounts[i] = map[string]float64{}
		}
		amounts[i][u.team], admittingFor[i] = u.amount, max(admittingFor[i], u.admittingFor)
	}
	n.mu.Unlock()
	for i, teams := range amounts {
		n.Meter.Observe(i.instance, i.incarnation, admittingFor[i], teams)
	}
}

// admittedUpdates reads the records of a message whose numbers stand for names.
func admittedUpdates(c *v1.AdmittedChanges, names []string) []admittedUpdate {
	var updates []admittedUpdate
	for i, number := range c.GetInstances() {
		instance, incarnation, zone, _ := parseIncarnationName(names[number])
		updates = append(updates, admittedUpdate{
			admittedKey: admittedKey{instance: instance, incarnation: incarnation, team: names[c.GetTeams()[i]]},
			admittedRecord: admittedRecord{
				zone: zone, sequence: c.GetSequences()[i], amount: float64(c.GetAmounts()[i]),
				admittingFor: time.Duration(c.GetAdmittingMs()[i]) * time.Millisecond,
			},
		})
	}
	return updates
}

// forgetAdmitted drops what an instance admitted.
func (n *Network) forgetAdmitted(id string) {
	for key := range n.admitted {
		if key.instance == id {
			delete(n.admitted, key)
			n.log.admitted.remove(key)
		}
	}
	n.Meter.Forget(id)
}
