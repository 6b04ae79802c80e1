# Draws a run of mangoload: acknowledged and refused requests a second, and waits. Variables: csv, png.
set terminal pngcairo size 1100,700
set output png
set datafile separator ","
of(team) = sprintf("< grep ',%s,' '%s'", team, csv)
set multiplot layout 2,1
set key outside
set ylabel "requests a second"
plot for [t in "team-1 team-2 team-3"] of(t) using 1:4 with lines lw 2 title t." acknowledged", \
     of("team-1") using 1:6 with lines dt 2 lw 2 title "team-1 over rate"
set ylabel "p99 wait, ms"
set xlabel "second"
set logscale y
plot for [t in "team-1 team-2 team-3"] of(t) using 1:9 with lines lw 2 title t
unset multiplot
