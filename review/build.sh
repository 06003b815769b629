#!/bin/sh
# Builds the stand-ins and the scripts' drivers into review/bin. They use the standard library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/ ./...
