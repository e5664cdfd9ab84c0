#!/usr/bin/env bash
# Plays the case of this folder. Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the
# disruption. Needs the build of deploy/system.toml and review/build.sh.
set -u
cd "$(dirname "$0")" || exit 2
rig=../../target/review/rig
[ -x "$rig" ] && [ -x ../../target/sardinereachd ] || { echo "not built" >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec "$rig" -case poison -record record.txt -trouble="$trouble"
