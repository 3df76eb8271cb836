# Builds of lib/raft with one deliberate fault each, for test/raft_faults.sh.
RAFT_FAULTS = NONE VOTE_TWICE NO_SYNC COMMIT_OLD_TERM
RAFT_FAULTBINS = $(RAFT_FAULTS:%=$(B)/fault/raft_%)
RAFT_FAULTSRC = test/fault/raft_fault.c test/sim.c test/memfs.c $(wildcard lib/raft/*.c)

$(B)/fault/raft_%: $(RAFT_FAULTSRC) test/fuzz_raft.c $(wildcard lib/raft/*.h test/*.h include/*.h) $(LIBA)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) $(PKG_CFLAGS) -DFAULT_$* -o $@ $(RAFT_FAULTSRC) $(LIBA) $(LIBS)

tests: $(RAFT_FAULTBINS)

$(FB)/fuzz_raft: $(FB)/test/sim.o $(FB)/test/memfs.o

# Runs only the fuzz target of the replicated log.
FUZZ_RAFT_TIME ?= 60
fuzz-raft: $(FB)/fuzz_raft
	@mkdir -p $(FB)/corpus/raft
	$(FB)/fuzz_raft -max_total_time=$(FUZZ_RAFT_TIME) -max_len=804 -len_control=0 -seed=1 \
	  -timeout=30 -artifact_prefix=$(FB)/ -print_final_stats=1 $(FB)/corpus/raft test/corpus/raft

.PHONY: fuzz-raft

FUZZ_CONTROL_OBJ = $(patsubst %,$(FB)/test/%.o,oracle oracle_check oracle_fault world world_db world_ent world_raft)
$(FB)/fuzz_control: $(FUZZ_CONTROL_OBJ)
# Header dependencies of the objects built for fuzzing.
-include $(wildcard $(FB)/test/*.d $(FB)/lib/*/*.d)
$(FB)/fuzz_control: EXTRA_LDFLAGS += $(CHECK_LIBS)

# Runs only the fuzz target of control and routing, for FUZZ_CONTROL_OPS
# operations.
FUZZ_CONTROL_OPS ?= 1000000
export FUZZ_CONTROL_OPS
fuzz-control: $(FB)/fuzz_control
	@mkdir -p $(FB)/corpus/control
	$(FB)/fuzz_control -max_len=512 -len_control=0 -seed=1 \
	  -timeout=120 -rss_limit_mb=4096 -artifact_prefix=$(FB)/ $(FB)/corpus/control

.PHONY: fuzz-control

demo: deps
	@$(MAKE) --no-print-directory all
	@timeout 115 tools/demo $(B)

# Benchmarks of single modules, then of the running system.
bench: deps
	@$(MAKE) --no-print-directory all $(BENCHES)
	@for b in $(filter-out %/bench_proxy,$(BENCHES)); do echo "== $$b"; $$b || exit 1; done
	@B=$(B) tools/bench

# The fault soak: real programs under faults from outside of the processes.
SOAK_OBJ = $(patsubst %.c,$(B)/%.o,$(wildcard test/soak/*.c))
$(B)/test/soak/soak: $(SOAK_OBJ) $(LIBA)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(PLATFORM_LIBS)
-include $(wildcard $(B)/test/soak/*.d)

tests: $(B)/test/soak/soak

# SOAK_SEEDS runs with new seeds from SOAK_FIRST on, SOAK_JOBS at a time.
SOAK_SEEDS ?= 8
SOAK_SECONDS ?= 45
SOAK_JOBS ?= 4
SOAK_FIRST ?= $(shell date +%s)
soak: tests
	@seq $(SOAK_FIRST) $$(($(SOAK_FIRST) + $(SOAK_SEEDS) - 1)) | xargs -P $(SOAK_JOBS) -I{} sh -c \
	  '$(B)/test/soak/soak --seed {} --seconds $(SOAK_SECONDS) --place $$(({} % 200 + 1)) $(B)'

.PHONY: soak

# Crowds of misbehaving clients, and their stand-in database.
CROWD_BINS = $(B)/test/crowd/crowd $(B)/test/crowd/db
$(CROWD_BINS): %: %.o $(LIBA)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(PLATFORM_LIBS)
-include $(wildcard $(B)/test/crowd/*.d)

tests: $(CROWD_BINS)
