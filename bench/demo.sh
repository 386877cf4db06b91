#!/usr/bin/env bash
# Three hosts, six fake targets, 200 requests; `make demo` builds what this runs.
set -eu
cd "$(dirname "$0")/.."
exec build/release/bin/demo
