package box

import (
	"time"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/follow"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/settings"
)

const (
	// endpointPace is the least time between two looks at the endpoints, whose entries change with every adapter loaded: a
	// leaving endpoint must get no work two seconds after it has said so.
	endpointPace = 700 * time.Millisecond
	// endpointWait bounds a watch of the endpoints: a path that has fallen silent is noticed that much later.
	endpointWait = 700 * time.Millisecond
	// routingWait and versionWait are how long watches of the configuration and of adapter versions wait. One that the store no longer
	// answers or tells of changes is deaf for that long, also when the store is back, and no other call shows it: a configuration
	// has to be in force two seconds after its acknowledgement, a version after five.
	routingWait = 1500 * time.Millisecond
	versionWait = 3 * time.Second
	// revocationWatches is how many watches of a box that tells others fit into the time in which keys are revoked. What a watch confirms is its
	// beginning, so the coordinator's word is up to two of them old, and that of the last box three heartbeats more: 1.7 of 5 s. The age that
	// boxes have when the store is lost is time for which they can serve the less.
	revocationWatches = 20
	// mapWait is how long a watch of the cell map waits, which also comes with heartbeats. It is given up early when another call
	// fails.
	mapWait = 6 * time.Second
	// mapPace is the least time between two such watches: after a loss of many boxes the map changes at every heartbeat and more.
	mapPace = 400 * time.Millisecond
)

// followedKinds returns the kinds that a box follows. Where keys are revoked within a bound, boxes that tell others ask for the configuration more
// often.
func followedKinds(s settings.Customers) []follow.Kind {
	return []follow.Kind{
		{Name: string(resource.KindRouting), Wait: routingWait, RelayingWait: s.RevokedWithin / revocationWatches, Relayed: true, SendsConfirmations: true},
		{Name: string(resource.KindEndpoint), MinInterval: endpointPace, Wait: endpointWait, MayExpire: true, CompanionKinds: []string{string(resource.KindHolding)}, Relayed: true, ProbesLostStore: true},
		{Name: string(resource.KindAdapterVersion), Wait: versionWait, Relayed: true},
		{Name: coordinator.MapKind, MinInterval: mapPace, Wait: mapWait, FleetOwned: true},
	}
}
