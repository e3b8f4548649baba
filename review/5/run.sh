#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 leaves out the disruption.
exec "$(dirname "$0")/../run-case.sh" 5
