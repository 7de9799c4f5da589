package publication_test

import (
	"context"
	"fmt"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/publication"
	"heatherrelay/pkg/release"
)

func Example() {
	ctx := context.Background()
	var memory objectstore.Memory
	publisher := publication.Publisher{Store: memory.Store()}
	for _, name := range []string{"crews", "clerks"} {
		note := release.Note{Teams: []release.Team{{Name: name, TokensPerSecond: 1, BurstTokens: 1}}}
		attempt, err := publisher.Publish(ctx, note)
		fmt.Println("accepted", attempt.Number, err)
	}

	first := &publication.Follower{Store: memory.Store()}
	first.PullFromAllPeers(ctx)
	_, err := first.CatchUp(ctx)
	fmt.Println("first", first.State().Number, first.Ready(), err)

	// The second instance cannot reach the platform, only the first instance.
	second := &publication.Follower{
		Peers: func() []string { return []string{"first"} },
		PullPeer: func(_ context.Context, _ string, after uint64) (publication.PullResponse, error) {
			return first.Pull(after, first.ConfirmedAt())
		},
	}
	second.PullFromAllPeers(ctx)
	team, ok := second.State().Team("clerks")
	fmt.Println("second", second.State().Number, team.Name, ok)
	// Output:
	// accepted 1 <nil>
	// accepted 2 <nil>
	// first 2 true <nil>
	// second 2 clerks true
}
