#!/usr/bin/env bash
# Generates the protobuf code in this folder with the tools pinned in tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd ../tools && GOBIN="$bin" go install tool)
export PATH="$bin:$PATH"
buf generate --template buf.gen.connect.yaml --path storev1 --path operatorv1
buf generate --template buf.gen.drpc.yaml --path peerv1
gofmt -w storev1 operatorv1 peerv1
