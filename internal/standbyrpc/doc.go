// Package standbyrpc carries the stream that replicates a leader's warm state to the other controllers
// over gRPC. Its messages are defined in standbypb/standby.proto; package standby decides what is sent
// and what it means.
//
// A leader registers a Source with its gRPC server, whose goroutines call the Source: one goroutine for
// each follower and direction. A follower calls Follow from a goroutine of its own, which Follow blocks
// until the stream ends. Safety doesn't depend on the stream: a follower that receives no frames takes
// over without a copy.
package standbyrpc
