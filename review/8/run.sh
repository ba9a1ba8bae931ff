#!/usr/bin/env bash
# Plays the case against the real program (review/trial). Exit status: 1 the rule was broken, 0 it held, 2 it could not run.
# TROUBLE=0 plays it without the disruption. review/build-2.sh and the build of the deploy file come first.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/lotusstile ] || [ ! -x target/review-trial ]; then
	echo "build first: the build of deploy/service.toml and review/build-2.sh" >&2
	exit 2
fi
exec target/review-trial queued review/8
