// Package origin finds the software version at which a stream began. Versions of a service's software don't continue each other's
// streams, and a caller that takes a stream up again tells only the id of the request that brought its first event.
//
// While all endpoints of a service have had one version for MaxStreamAge, every stream began there. Otherwise routers tell each other
// where streams begin: each stream has a few routers that remember it, chosen by rendezvous hashing of its id. A router that has just
// started learns from a record in the store whether the service has had one version only. If nobody knows, the stream can't go on.
package origin
