# Attainment and cost of every arm in every experiment, from the driver's CSV.
#   gnuplot -e "input='policy.csv'; output='policy.svg'" bench/plot.gp
set terminal svg size 1500,1100 font "sans,11"
set output output
set datafile separator ","
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.85 border -1
set key outside right top
set grid ytics
set xtics rotate by -25 nomirror
arms = "random round-robin least-load ours"
sites = "bkk ar-centro"
select(site, arm, column) = sprintf("< grep '^%s,[^,]*,%s,' %s", site, arm, input)
set multiplot layout 4,1
do for [s = 1:2] {
  set title word(sites, s).": requests answered whole inside their window"
  set yrange [0:1.02]
  plot for [a = 1:4] select(word(sites, s), word(arms, a), 4) using 4:xtic(2) title word(arms, a)
  set title word(sites, s).": cost of a request answered in time"
  set yrange [0:*]
  plot for [a = 1:4] select(word(sites, s), word(arms, a), 12) using 12:xtic(2) title word(arms, a)
}
unset multiplot
