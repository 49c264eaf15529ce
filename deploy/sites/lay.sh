#!/bin/sh
# Lays the bench's own files (dialects, names on the sockets, kinds of trouble) beside the deployments of this folder.
# They are not the project's: git ignores them. The first argument is the folder to take them from.
set -eu
from=${1:?"usage: deploy/sites/lay.sh FOLDER, where wire.json, real.json and unlock.txt lie"}
from=$(cd "$from" && pwd)
cd "$(dirname "$0")"
for f in wire.json real.json unlock.txt; do
	cp "$from/$f" "$f"
	chmod u+w "$f"
done
