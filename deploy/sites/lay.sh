#!/bin/sh
# Copies the test bench's files (protocol dialects, names used on the sockets, kinds of faults) into this folder, next to
# the deployments. They don't belong to the project, so git ignores them. The first argument is the folder with the files.
set -eu
from=${1:?"usage: deploy/sites/lay.sh FOLDER, where wire.json, real.json and unlock.txt lie"}
from=$(cd "$from" && pwd)
cd "$(dirname "$0")"
for f in wire.json real.json unlock.txt; do
	cp "$from/$f" "$f"
	chmod u+w "$f"
done
