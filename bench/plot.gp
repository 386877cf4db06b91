# Misses and cost in every experiment, of all arms on virtual time and of real processes.  Misses
# and not attainment: from a zero axis the arms would look the same.
#   gnuplot -e "input='experiments.csv'; output='experiments.svg'" bench/plot.gp
# For a PNG: also kind='pngcairo'.
if (!exists("kind")) kind = "svg"
set terminal @kind size 1500,1400 font "sans,11" background rgb "white"
set output output
set datafile separator ","
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.85 noborder
set grid ytics
set xtics rotate by -25 nomirror
set yrange [0:*]
arms = "random round-robin least-load ours"
sites = "bkk ar-centro"
select(driver, site, arm) = sprintf("< grep '^%s,%s,[^,]*,%s,' %s", driver, site, arm, input)
missed = "of 100 requests, not answered whole inside their window"
cost = "cost of a request answered in time, wasted work included"
set multiplot layout 4,2 columnsfirst
do for [s = 1:2] {
  site = word(sites, s)
  set key top left horizontal outside
  set title site.", virtual time: ".missed
  plot for [a = 1:4] select("virtual", site, word(arms, a)) using (100 * (1 - $5)):xtic(3) \
    title word(arms, a) lt a
  unset key
  set title site.", virtual time: ".cost
  plot for [a = 1:4] select("virtual", site, word(arms, a)) using 13:xtic(3) lt a
  set boxwidth 0.5
  set title site.", real processes, ours: ".missed
  plot select("processes", site, "ours") using (100 * (1 - $5)):xtic(3) lt 4
  set title site.", real processes, ours: ".cost
  plot select("processes", site, "ours") using 13:xtic(3) lt 4
  unset boxwidth
  set boxwidth 1
}
unset multiplot
