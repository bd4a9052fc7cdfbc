// Package operatorpb is the generated form of the operators' settings.
package operatorpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative settings.proto
