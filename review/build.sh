#!/bin/sh
# Builds the stand-ins of the script cases. It needs the standard library alone.
set -e
cd "$(dirname "$0")/standin"
exec go build -o ../bin/standin .
