#!/usr/bin/env bash
# Makes the generated code anew. Needs protoc; the Go plugin comes from go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
plugin=$(go tool -n protoc-gen-go)
protoc --plugin=protoc-gen-go="$plugin" --go_out=. --go_opt=module=github.com/anvilcourse/anvilcourse proto/*.proto
