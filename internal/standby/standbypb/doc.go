// Package standbypb is the generated code of the stream that replicates the warm state.
package standbypb

// Generating needs protoc, protoc-gen-go and protoc-gen-go-grpc.
//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative standby.proto
