package demo

import (
	"bytes"
	_ "embed"
	"fmt"

	"heatherrelay/internal/key"
	"heatherrelay/internal/settings"
	"heatherrelay/internal/standin"
	"heatherrelay/pkg/release"
)

// The model and prompt of the demo's streamed request.
const (
	sampleAdapter = "verges@1"
	samplePrompt  = "Which lane comes next?"
)

//go:embed release.toml
var releaseText []byte

// sample is the sample release with new keys for its teams.
type sample struct {
	note  release.Note
	crews key.Key
	desk  key.Key
}

// load parses the embedded release and adds a new key for each team.
func (s *sample) load() error {
	note, err := release.Parse(bytes.NewReader(releaseText))
	if err != nil {
		return err
	}
	s.crews, s.desk = key.Generate(), key.Generate()
	note.Keys = []release.Key{
		{ID: s.crews.ID, Hash: s.crews.Hash(), Team: "crews"},
		{ID: s.desk.ID, Hash: s.desk.Hash(), Team: "desk"},
	}
	s.note = note
	return nil
}

// settings returns the settings of one of the demo's instances.
func (d *Demo) settings(id, zone string) settings.Settings {
	s := settings.Defaults()
	s.Instance, s.Zone = id, zone
	s.Listen = settings.Listen{
		Callers:        standin.Loopback,
		Peers:          standin.Loopback,
		Administration: standin.Loopback,
		Metrics:        standin.Loopback,
	}
	s.Platform.Address = d.platformAddress
	s.Shutdown.DrainDelay.Duration = drainDelay
	s.TLS.Callers.Plain, s.TLS.Peers.Plain = true, true
	return s
}

// printNextCommands prints commands to try next.
func (d *Demo) printNextCommands() {
	url := func(n int) string { return "http://" + d.callerAddresses[n].String() }
	bearer := fmt.Sprintf("-H 'Authorization: Bearer %s'", d.sample.crews.Text())
	fmt.Fprintln(d.Out, "Go on with:")
	fmt.Fprintf(d.Out, "  curl -N %s %s/v1/completions -d '{\"model\":%q,\"prompt\":\"Which lane comes next?\",\"stream\":true}'\n", bearer, url(0), sampleAdapter)
	fmt.Fprintf(d.Out, "  curl %s %s/v1/chat/completions -d '{\"model\":\"rounds@3\",\"messages\":[{\"role\":\"user\",\"content\":\"Plan the season.\"}]}'\n", bearer, url(1))
	fmt.Fprintf(d.Out, "  curl %s %s/v1/models\n", bearer, url(2))
	fmt.Fprintf(d.Out, "  curl %s %s/services/dispatch/lookups/lane?near=4\n", bearer, url(2))
	fmt.Fprintf(d.Out, "  curl %s -H 'Idempotency-Key: round-8' %s/services/dispatch/rounds/8 -d 'mow the lane'\n", bearer, url(0))
	fmt.Fprintf(d.Out, "  heatherrelay release status 1 --platform %s\n", d.platformAddress)
	fmt.Fprintf(d.Out, "The key of the team desk is %s\n\n", d.sample.desk.Text())
}
