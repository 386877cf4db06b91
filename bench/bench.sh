#!/usr/bin/env bash
# The table of experiments: policies on virtual time, then real hosts and fakes; one CSV and a plot
# of the whole set.  `make bench` builds what this runs.  Results go to build/bench/.  Takes about
# 7 minutes; ends with failure when a run failed or a row has a broken promise.
#
#   bench/bench.sh [EXPERIMENT...]     of the real processes only these
#
# LENGTH (seconds of a trace, before pressing), SCALE (time scale), RATE (requests a second) and
# HOSTS change the real processes.
set -eu
cd "$(dirname "$0")/.."
bin=build/release/bin
out=build/bench
length=${LENGTH:-40}
scale=${SCALE:-0.2}
rate=${RATE:-20}
hosts=${HOSTS:-6}
# Ten runs of a site take under 200 s; one that hangs must not hold the table up.
site_limit=230
failed=0
mkdir -p "$out"
rm -f "$out"/*

fail () {
  echo "FAILED: $1"
  failed=1
}

# Columns for people where the tool is there.
show () {
  if command -v column >/dev/null; then column -s "$1" -t "$2"; else cat "$2"; fi
}

# Both tables under one heading; what a driver does not measure is left empty.
merge () {
  echo "driver,site,experiment,arm,attainment,p50_s,p99_s,cost_encode,cost_retrieve,cost_rerank,cost_generate,cost_call,cost_per_attained,wasted_share,retry_share,worst_organisation,broken"
  awk -F, -v OFS=, 'FNR > 1 {
    print "virtual", $1, $2, $3, $4, $5, $6, $7, $8, $9, $10, $11, $12, $14, $16, $18, $20 }' \
    "$out/policy.csv"
  awk -F'\t' -v OFS=, 'FNR > 1 {
    cost = $8 + $9 + $10 + $11 + $12
    print "processes", $1, $2, "ours", $5, $6 / 1000, $7 / 1000, $8, $9, $10, $11, $12, $14,
          (cost > 0 ? $13 / cost : 0), $15 / $4, $16, $17 }' \
    "$out"/replay-*.tsv
}

echo "# $(date -u '+%Y-%m-%d %H:%M') UTC, load $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) cores"
echo "# policies on virtual time: 5 seeds, 6 hosts"
"$bin/policy" --csv >"$out/policy.csv" 2>"$out/policy.log" || fail "policy: see $out/policy.log"
show , "$out/policy.csv"

echo
echo "# real processes: $hosts hosts, fakes, $length s at $rate requests/s, time scale $scale"
for site in bkk ar-centro; do
  echo "# $site, load $(cut -d' ' -f1-3 /proc/loadavg)"
  timeout --foreground "$site_limit" "$bin/replay" --site "$site" --seconds "$length" \
    --rate "$rate" --time-scale "$scale" --hosts "$hosts" "$@" \
    >"$out/replay-$site.tsv" 2>"$out/replay-$site.log" \
    || fail "replay of $site ended with $?: see $out/replay-$site.log"
  show "$(printf '\t')" "$out/replay-$site.tsv"
done

merge >"$out/experiments.csv"
broken=$(awk -F, 'FNR > 1 { n += $NF } END { print n + 0 }' "$out/experiments.csv")
rows=$(($(wc -l <"$out/experiments.csv") - 1))
echo
echo "$rows rows in $out/experiments.csv, broken promises: $broken"
[ "$broken" = 0 ] || fail "a promise was broken"

if command -v gnuplot >/dev/null; then
  if gnuplot -e "input='$out/experiments.csv'; output='$out/experiments.svg'" bench/plot.gp; then
    echo "plot: $out/experiments.svg"
  else
    fail "the plot"
  fi
else
  echo "no gnuplot (Debian: gnuplot-nox): the plot is left out"
fi
exit "$failed"
