// Package nodepb holds the generated messages and twirp services of the
// protocol between primrosespoke's own processes. The source is node.proto.
package nodepb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --plugin=protoc-gen-twirp=$(go tool -n protoc-gen-twirp) --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. node.proto"
