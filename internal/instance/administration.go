package instance

import (
	"cmp"
	"context"
	"slices"

	"heatherrelay/internal/administration"
	"heatherrelay/internal/key"
	"heatherrelay/internal/publication"
)

// listenAdministration opens the listener of the administration API. Without
// operator keys in the settings it does nothing, and the API is not served.
func (i *Instance) listenAdministration() error {
	if i.Settings.Administration.Keys == "" {
		return nil
	}
	listener, err := listenOn(i.Settings.Listen.Administration)
	if err != nil {
		return err
	}
	i.listeners.administration = listener
	i.addresses.Administration = boundAddress(listener)
	return nil
}

// serveAdministration serves the administration API until ctx ends, with the
// same TLS certificate as the callers' listener.
func (i *Instance) serveAdministration(ctx context.Context) error {
	operators, err := key.ParseOperatorKeys(i.Settings.Administration.Keys)
	if err != nil {
		return err
	}
	certificate, err := i.callerTLS()
	if err != nil {
		return err
	}
	store := i.store()
	publisher := publication.Publisher{Store: store}
	server := administration.Server{
		Listener:  i.listeners.administration,
		TLS:       certificate,
		Keys:      operators,
		Publish:   publisher.Publish,
		Resume:    publisher.Resume,
		Status:    publication.StatusReader{Store: store}.Read,
		Targets:   i.adminTargets,
		Teams:     i.adminTeams,
		Readiness: i.adminReadiness,
		Log:       i.Log,
	}
	return server.Run(ctx)
}

// adminTargets returns all targets, sorted by zone and ID. Owner is set only for
// targets of this zone, FencingNumber and Resident only for targets that this
// instance owns.
func (i *Instance) adminTargets() []administration.Target {
	targets := []administration.Target{}
	owned := map[string]OwnedState{}
	for _, s := range i.ownership.States() {
		if s.Owned {
			owned[s.Entry.ID] = s
		}
	}
	for _, e := range i.directory.Targets() {
		t := administration.Target{ID: e.ID, Zone: e.Zone, Kind: string(e.Kind), Leaving: e.Leaving}
		if e.Zone == i.Settings.Zone {
			t.Owner, _ = i.ownership.Holder(e.ID)
		}
		if s, ok := owned[e.ID]; ok {
			t.FencingNumber = s.FencingNumber
			t.Resident = idsToStrings(s.Snapshot.Residents)
		}
		targets = append(targets, t)
	}
	slices.SortFunc(targets, func(a, b administration.Target) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	return targets
}

func (i *Instance) adminTeams() []administration.Team {
	teams := []administration.Team{}
	for _, t := range i.follower.State().Teams() {
		teams = append(teams, administration.Team{
			Name:            t.Name,
			TokensPerSecond: t.TokensPerSecond,
			BurstTokens:     t.BurstTokens,
			RemainingTokens: i.allowances.Balance(t.Name),
		})
	}
	return teams
}

func (i *Instance) adminReadiness() administration.Readiness {
	r := administration.Readiness{
		ReleaseInForce: i.follower.State().Number,
		ConfirmedAgeMS: i.confirmedAgeMS(),
	}
	if err := i.checkReadiness(); err != nil {
		r.Reason = err.Error()
		return r
	}
	r.Ready = true
	return r
}
