#!/usr/bin/env bash
# TROUBLE=0 leaves out the disruption. See claim.txt.
exec "$(dirname "$0")/../run-case.sh" pipeline 1
