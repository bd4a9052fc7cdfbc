// Package emulator runs a deployment on loopback. The controllers are real and run as processes of
// their own, which it can kill, pause and start again. What surrounds them is emulated: the state
// service, the cloud, workers and users, each as its section of the protocol says (PROTOCOL: Controller
// nodes -> state service; Controller nodes -> cloud; Workers -> controller nodes; Users -> controller
// nodes). Tests and the measuring tools under tools/ use it.
//
// A Cluster owns its emulated services, processes and goroutines; Cluster.Stop ends them all. The
// History records what workers were commanded and did and what users were told, and checks it against
// the protocol's rules. The goroutines of workers and users write it; any goroutine may read it. Names
// on the wire are used only where a message is encoded or decoded.
package emulator
