# Builds of lib/raft with one deliberate fault each, for test/raft_faults.sh.
RAFT_FAULTS = NONE VOTE_TWICE NO_SYNC COMMIT_OLD_TERM
RAFT_FAULTBINS = $(RAFT_FAULTS:%=$(B)/fault/raft_%)
RAFT_FAULTSRC = test/fault/raft_fault.c test/sim.c test/memfs.c $(wildcard lib/raft/*.c)

$(B)/fault/raft_%: $(RAFT_FAULTSRC) test/fuzz_raft.c $(wildcard lib/raft/*.h test/*.h include/*.h) $(LIBA)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -DFAULT_$* -o $@ $(RAFT_FAULTSRC) $(LIBA) $(LIBS)

tests: $(RAFT_FAULTBINS)

$(FB)/fuzz_raft: $(FB)/test/sim.o $(FB)/test/memfs.o

# A run of the fuzz target of the replicated log alone.
FUZZ_RAFT_TIME ?= 60
fuzz-raft: $(FB)/fuzz_raft
	@mkdir -p $(FB)/corpus/raft
	$(FB)/fuzz_raft -max_total_time=$(FUZZ_RAFT_TIME) -max_len=804 -len_control=0 -seed=1 \
	  -timeout=30 -artifact_prefix=$(FB)/ -print_final_stats=1 $(FB)/corpus/raft test/corpus/raft

.PHONY: fuzz-raft

demo: deps
	@$(MAKE) --no-print-directory all
	@timeout 115 tools/demo $(B)
