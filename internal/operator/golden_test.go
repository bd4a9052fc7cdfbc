package operator

import (
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	"gingertally/internal/goldentest"
	"gingertally/internal/operator/operatorpb"
)

// Guards against renamed settings and changed types, with which existing files would be refused, and
// against changed field numbers.
func TestSettingsGolden(t *testing.T) {
	var lines goldentest.Lines
	addFields(&lines, "", (&operatorpb.Settings{}).ProtoReflect().Descriptor())
	lines.Check(t, "settings.txt")
}

// addFields adds a line for each field of a message, and of the messages that it contains.
func addFields(lines *goldentest.Lines, prefix string, message protoreflect.MessageDescriptor) {
	fields := message.Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		name := prefix + string(field.Name())
		lines.Add("%s %d %s %s", name, field.Number(), field.Cardinality(), field.Kind())
		if field.Message() != nil {
			addFields(lines, name+".", field.Message())
		}
	}
}
