// Package proto holds the protocol buffer definitions of the messages between
// entries. The generated code is committed; to regenerate it, run protoc with
// protoc-gen-go on the .proto files in this folder.
package proto
