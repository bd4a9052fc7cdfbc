// Package emulator stands in for the outside of a deployment on loopback: the state service, the cloud,
// workers and users, each as its section of the protocol says (PROTOCOL: Controller nodes -> state service;
// Controller nodes -> cloud; Workers -> controller nodes; Users -> controller nodes). Against them it runs
// real controllers as processes of their own, which it can kill, pause and start again. It serves tests and
// the measurements under tools/.
//
// A Cluster owns all of it: its stand-ins, processes and goroutines end with Cluster.Stop. The History
// notes what workers were told and did and what users heard, and holds the protocol's rules against it; it
// is written from the goroutines of workers and users, and may be read from any. The protocol's words are
// known only where a message is made or read.
package emulator
