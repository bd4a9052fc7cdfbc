// Package operatorpb holds the protobuf messages of the operators' settings, generated from
// settings.proto.
package operatorpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative settings.proto
