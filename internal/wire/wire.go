// Package wire defines the messages of the external interfaces with their names on the wire, and
// validates the messages that users and workers send. Each interface has its own file, which mirrors
// a section of the protocol:
//
//   - users.go: users, who submit, query and cancel jobs;
//   - workers.go: workers, which send heartbeats and carry out commands;
//   - state_service.go: the state service, a key-value store;
//   - cloud.go: the cloud, which creates and deletes machines.
//
// Only the packages at the edges import wire and use the protocol's words: the clients of the state
// service and of the cloud (statestore, cloud), the services for users and workers (userapi, agentapi),
// the users' client (client), and what imitates the other parties (emulator, simulation and tests).
// They convert the messages to the usual terms of the field, which all other packages use
// (docs/glossary.md).
//
// The package has no state; its functions are safe for concurrent use.
package wire

import (
	"fmt"

	"gingertally/internal/codec"
)

// MaxBody is the size in bytes of the largest body that a user or a worker may send or receive.
const MaxBody = 64 << 10

// ErrorMessage is the body of a response that refuses a request, in any of the interfaces.
type ErrorMessage struct {
	Error string `cbor:"error"`
}

// malformed returns an error that wraps codec.ErrMalformed and says what is wrong.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{codec.ErrMalformed}, args...)...)
}

// unmarshalMap decodes a body, which has to be a map of at most MaxBody bytes. Its errors wrap
// codec.ErrMalformed.
func unmarshalMap(body []byte, message any) error {
	if len(body) > MaxBody || !codec.IsMap(body) {
		return malformed("not a map within the size limit")
	}
	return codec.Unmarshal(body, message)
}
