// Package wire holds the messages of the outside interfaces: the names that they have on the wire, and
// the checks on what arrives. Each interface has its file, which mirrors a section of the protocol:
//
//   - users.go: users, who submit, query and cancel jobs;
//   - workers.go: workers, which send heartbeats and carry out commands;
//   - state_service.go: the state service, a key-value store;
//   - cloud.go: the cloud, which creates and deletes machines.
//
// The protocol's words end here. Only the packages at the edges import wire: the clients of the state
// service and of the cloud (statestore, cloud), the services for users and workers (userapi, agentapi),
// the users' client, and stand-ins for the outside in emulator and in tests. All other packages use the
// field's terms, to which those packages map the messages (docs/glossary.md).
//
// The package has no state; its functions may be called from any goroutine.
package wire

import (
	"fmt"

	"gingertally/internal/codec"
)

// MaxBody is the largest body that a user or a worker may send or be sent, in bytes.
const MaxBody = 64 << 10

// ErrorMessage is the body of an answer that refuses a request, in any of the interfaces.
type ErrorMessage struct {
	Error string `cbor:"error"`
}

// malformed is a codec.ErrMalformed that says what is wrong.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{codec.ErrMalformed}, args...)...)
}

// unmarshalMap decodes a body that has to be a map within MaxBody.
func unmarshalMap(body []byte, message any) error {
	if len(body) > MaxBody || !codec.IsMap(body) {
		return malformed("not a map within the size limit")
	}
	return codec.Unmarshal(body, message)
}
