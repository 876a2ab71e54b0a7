// Package quota holds every workspace to its rate and burst over the fleet.
//
// A workspace's allowance is split into shards. The node that holds a shard's
// lease in the store runs a token bucket for it and grants small batches of
// tokens to the nodes that ask. A batch is valid for a short time counted from
// the asker's own request, so that one granted by an owner that was paused past
// its lease arrives dead. The buckets are smaller than the declared burst by what
// batches in flight could add:
//
//	admitted in any window t <= rate*(t+validity) + (burst-rate*validity)
//	                          = rate*t + burst
package quota
