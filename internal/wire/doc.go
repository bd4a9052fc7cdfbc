// Package wire holds the messages of the outside interfaces: their wire names, and the checks on
// what arrives. Only the packages at the edges import it: the clients of the state service and of the
// cloud, the services for workers and users, and their stand-ins in tests. All others know the field's
// terms, to which those packages map the messages (docs/glossary.md).
package wire

// MaxBody is the largest body a user or worker may send or be sent.
const MaxBody = 64 << 10
