package box

import (
	"time"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/follow"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/settings"
)

const (
	// endpointMinInterval is the minimum interval between two reads of the endpoints, whose entries change with every loaded adapter. It must be
	// short enough that a leaving endpoint gets no requests later than two seconds after it has reported that it is leaving.
	endpointMinInterval = 700 * time.Millisecond
	// endpointWatchWait limits the duration of a watch of the endpoints. A connection that fails without an error is detected only after this time.
	endpointWatchWait = 700 * time.Millisecond
	// routingWatchWait and versionWatchWait limit the duration of the watches of the configuration and of adapter versions. If the store stops
	// responding to a watch or stops sending changes, the watch misses changes until it ends, even if the store has recovered meanwhile, and no
	// other call detects this. A configuration must be in effect two seconds after its acknowledgement, an adapter version after five seconds.
	routingWatchWait = 1500 * time.Millisecond
	versionWatchWait = 3 * time.Second
	// watchesPerRevocation is the number of watches, by a box that relays changes, within the time limit for revoking keys. A watch confirms the
	// state at its start. The coordinator's confirmation is therefore up to two watches old, and that of the last box three heartbeats more: 1.7 s
	// of the limit of 5 s. When the store is lost, the age of this confirmation shortens the time for which boxes can continue to serve.
	watchesPerRevocation = 20
	// mapWatchWait limits the duration of a watch of the cell map. It can be long, because the map also arrives with heartbeats and the watch is
	// cancelled early when another call fails.
	mapWatchWait = 6 * time.Second
	// mapMinInterval is the minimum interval between two watches of the cell map. After the loss of many boxes, the map changes at least once per
	// heartbeat.
	mapMinInterval = 400 * time.Millisecond
)

// followedKinds returns the kinds that a box follows. If there is a time limit for revoking keys, boxes that relay changes request the configuration
// more often.
func followedKinds(s settings.Customers) []follow.Kind {
	return []follow.Kind{
		{Name: string(resource.KindRouting), Wait: routingWatchWait, RelayingWait: s.RevokedWithin / watchesPerRevocation, Relayed: true, SendsConfirmations: true},
		{Name: string(resource.KindEndpoint), MinInterval: endpointMinInterval, Wait: endpointWatchWait, MayExpire: true, CompanionKinds: []string{string(resource.KindHolding)}, Relayed: true, ProbesLostStore: true},
		{Name: string(resource.KindAdapterVersion), Wait: versionWatchWait, Relayed: true},
		{Name: coordinator.MapKind, MinInterval: mapMinInterval, Wait: mapWatchWait, FleetOwned: true},
	}
}
