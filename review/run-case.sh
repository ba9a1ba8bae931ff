#!/usr/bin/env bash
# Runs one case: run-case.sh NAME FOLDER. The exit status is that of the case: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
if [ -z "$command" ] || [ ! -x "${command%% *}" ] || [ ! -x target/review-cases ]; then
	echo "build first: the build of deploy/service.toml and review/build.sh" >&2
	exit 2
fi
exec target/review-cases --case "$1" --run "$command" --record "review/$2/record.txt"
