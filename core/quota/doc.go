// Package quota enforces each workspace's rate and burst across the fleet.
//
// A workspace's allowance is split into shards. The node that holds a shard's
// lease in the store runs a token bucket for it and grants small batches of
// tokens to the nodes that request them. A batch is valid for a short time counted
// from when the requester sent its request, so a batch granted by an owner that was
// paused past its lease has expired when it arrives. The buckets are smaller than
// the declared burst by the tokens that outstanding batches can add:
//
//	admitted in any window t <= rate*(t+validity) + (burst-rate*validity)
//	                          = rate*t + burst
package quota
