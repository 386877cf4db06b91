#!/usr/bin/env bash
# The table of experiments: policies on virtual time, then real hosts and fakes; and a plot.
# `make bench` builds what this runs.  Results go to build/bench/.
set -eu
cd "$(dirname "$0")/.."
bin=build/release/bin
out=build/bench
mkdir -p "$out"

# Columns for people where the tool is there.
show () {
  if command -v column >/dev/null; then column -s "$1" -t "$2"; else cat "$2"; fi
}

echo "# policies on virtual time: 5 seeds, 6 hosts"
"$bin/policy" --csv >"$out/policy.csv"
show , "$out/policy.csv"

echo
echo "# real processes: 6 hosts, every target a fake, time scale ${SCALE:-0.2}"
failed=0
for site in bkk ar-centro; do
  "$bin/replay" --site "$site" --time-scale "${SCALE:-0.2}" "$@" \
    >"$out/replay-$site.tsv" 2>"$out/replay-$site.log" || failed=1
  show "$(printf '\t')" "$out/replay-$site.tsv"
done
[ "$failed" = 0 ] || echo "a run failed or broke a promise: see $out/replay-*.log"

if command -v gnuplot >/dev/null; then
  gnuplot -e "input='$out/policy.csv'; output='$out/policy.svg'" bench/plot.gp
  echo "plot: $out/policy.svg"
else
  echo "no gnuplot (Debian: gnuplot-nox): the plot is left out"
fi
exit "$failed"
