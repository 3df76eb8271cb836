# make bench-NAME runs one measurement; make bench runs them all.
bench-%: $(B)/bench/bench_%
	$<

.PRECIOUS: $(B)/bench/bench_%
