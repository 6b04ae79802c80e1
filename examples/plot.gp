# Draws a run of mangoload: acknowledged and refused requests a second, and waits. Variables: csv, png.
set terminal pngcairo size 1100,700
set output png
set datafile separator ","
set multiplot layout 2,1
set key outside
set ylabel "requests a second"
plot for [t in "team-1 team-2 team-3"] csv using 1:(strcol(2) eq t ? $4 : 1/0) with lines lw 2 title t." acknowledged", \
     csv using 1:(strcol(2) eq "team-1" ? $6 : 1/0) with lines dt 2 lw 2 title "team-1 over rate"
set ylabel "p99 wait, ms"
set xlabel "second"
set logscale y
plot for [t in "team-1 team-2 team-3"] csv using 1:(strcol(2) eq t ? $9 : 1/0) with lines lw 2 title t
unset multiplot
