# make bench-NAME runs one benchmark; make bench runs all.
bench-%: $(B)/bench/bench_%
	$<

.PRECIOUS: $(B)/bench/bench_%
