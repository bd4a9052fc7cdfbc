// Package standbyrpc carries the stream of a leader's warm state to the other controllers over gRPC.
// Its messages are defined in standbypb/standby.proto; package standby decides what is sent and what
// it means.
//
// A leader registers a Source with its gRPC server, whose goroutines then call it, one for each
// follower and direction. A follower calls Follow from a goroutine of its own, which it occupies
// until the stream ends. Nothing that is safe depends on the stream: a follower that gets no frames
// takes over without a copy.
package standbyrpc
