# make            builds build/bin/*
# make check      installs missing packages, builds and runs all tests
# make demo       runs both example deployments on loopback and prints a report
# make bench      runs the benchmarks; make fuzz: a long fuzzing run
# make lint fmt   linter and formatter checks; make install PREFIX=/usr/local

CC = gcc
CLANG = clang
B ?= build
PREFIX ?= /usr/local
OPT ?= -O2 -g
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wno-missing-field-initializers

# The output of pkg-config.  A failure ends make: for a list with one unknown
# package it prints no flags at all, so that installed headers are not found.
pkg_config = $(shell pkg-config $(1))$(if $(filter-out 0,$(.SHELLSTATUS)),$(error pkg-config $(1) failed))
# once VARIABLE,TEXT: expands TEXT only once, at the first use of VARIABLE.
once = $(eval $(1) := $(2))$($(1))

# The programs of the users' platform build with the packages of
# deploy/system.toml alone; the PostgreSQL data plane and the tests need more.
PLATFORM_PKGS = apr-1 libxxhash yaml-0.1 libmicrohttpd jansson
PKGS = $(PLATFORM_PKGS) libpq
TEST_PKGS = $(PKGS) check
PLATFORM_CFLAGS = $(call once,PLATFORM_CFLAGS,$(call pkg_config,--cflags $(PLATFORM_PKGS)))
PKG_CFLAGS = $(call once,PKG_CFLAGS,$(call pkg_config,--cflags $(PKGS)))
TEST_CFLAGS = $(call once,TEST_CFLAGS,$(call pkg_config,--cflags $(TEST_PKGS)))
PLATFORM_PKG_LIBS = $(call once,PLATFORM_PKG_LIBS,$(call pkg_config,--libs $(PLATFORM_PKGS)))
PKG_LIBS = $(call once,PKG_LIBS,$(call pkg_config,--libs $(PKGS)))
CHECK_LIBS = $(call once,CHECK_LIBS,$(call pkg_config,--libs check))

CFLAGS_ALL = -std=gnu11 $(WARN) $(OPT) -D_GNU_SOURCE -Iinclude -I. -pthread $(EXTRA_CFLAGS)
LIBS = $(PKG_LIBS) -lmsgpackc -lhttp_parser -lpg_query -pthread -lm $(EXTRA_LDFLAGS)

LIBSRC = $(wildcard lib/*/*.c)
LIBOBJ = $(LIBSRC:%.c=$(B)/%.o)
LIBA = $(B)/libpimentopost.a
PROGS = $(notdir $(patsubst %/,%,$(wildcard cmd/*/)))
PROGS := $(foreach p,$(PROGS),$(if $(wildcard cmd/$(p)/*.c),$(p)))
BINS = $(PROGS:%=$(B)/bin/%)
TESTSRC = $(wildcard test/test_*.c)
TESTS = $(TESTSRC:test/%.c=$(B)/test/%)
BENCHSRC = $(wildcard bench/bench_*.c)
BENCHES = $(BENCHSRC:bench/%.c=$(B)/bench/%)
CSRC = $(wildcard platform/*.[ch] platform/*/*.[ch] lib/*/*.[ch] cmd/*/*.[ch] include/*.h test/*.[ch] test/soak/*.[ch] test/crowd/*.c bench/*.[ch])

all: $(BINS) $(LIBA) platform

deps:
	@tools/deps

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) $(PKG_CFLAGS) -MMD -MP -c $< -o $@

$(B)/test/%.o: test/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) $(TEST_CFLAGS) -MMD -MP -c $< -o $@

$(LIBA): $(LIBOBJ)
	@rm -f $@
	ar rcs $@ $^

# The programs of the users' platform contain no PostgreSQL data plane: they
# link only these libraries, and neither libpq nor libpg_query.
PLATFORM_LIBSRC = $(wildcard $(addsuffix /*.c,$(addprefix lib/,balance base cell conf fleet httpd loop proxy quota raft rpc)))
PLATFORM_LIBOBJ = $(PLATFORM_LIBSRC:%.c=$(B)/%.o)
PLATFORM_OBJ = $(patsubst %.c,$(B)/%.o,$(filter-out platform/promote.c platform/api.c,$(wildcard platform/*.c)))
PLATFORM_LIBS = -Wl,--as-needed $(PLATFORM_PKG_LIBS) -lmsgpackc -lhttp_parser -pthread -lm $(EXTRA_LDFLAGS)
platform: $(B)/bin/pimentopost-entry $(B)/bin/pimentopost-control

$(PLATFORM_LIBOBJ): $(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) $(PLATFORM_CFLAGS) -MMD -MP -c $< -o $@

$(B)/platform/%.o: platform/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) $(PLATFORM_CFLAGS) -MMD -MP -c $< -o $@

$(B)/bin/pimentopost-entry: $(B)/platform/entry/main.o $(PLATFORM_OBJ) $(PLATFORM_LIBOBJ)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(PLATFORM_LIBS)

$(B)/bin/pimentopost-control: $(B)/platform/control/main.o $(B)/platform/promote.o $(B)/platform/api.o $(PLATFORM_OBJ) $(PLATFORM_LIBOBJ)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(PLATFORM_LIBS)

# The operator tool checks configurations with the adapter's parser.
$(B)/bin/pimentopost: $(B)/platform/body.o

define prog
$(B)/bin/$(1): $(patsubst %.c,$(B)/%.o,$(wildcard cmd/$(1)/*.c)) $(LIBA)
	@mkdir -p $$(@D)
	$$(CC) $$(CFLAGS_ALL) -o $$@ $$^ $$(LIBS)
endef
$(foreach p,$(PROGS),$(eval $(call prog,$(p))))

# Files test/*.c not named test_* or fuzz_* are linked into every test.
TESTAUX = $(filter-out $(TESTSRC) $(wildcard test/fuzz_*.c),$(wildcard test/*.c))
$(B)/test/test_%: $(B)/test/test_%.o $(TESTAUX:%.c=$(B)/%.o) $(PLATFORM_OBJ) $(LIBA)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(CHECK_LIBS) $(LIBS)

$(B)/bench/bench_%: $(B)/bench/bench_%.o $(LIBA)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(LIBS)

# The tests of real processes use bench_pq too.
tests: all $(TESTS) $(B)/bench/bench_pq

check: deps
	@$(MAKE) --no-print-directory tests
	@tools/runtests $(B)

# Fuzz targets test/fuzz_*.c with clang's libFuzzer and sanitizers; the corpus
# of fuzz_X is test/corpus/X.
FUZZ_RUNS ?= 200000
# Fewer for the replicated log: one run is up to 400 operations.
FUZZ_RUNS_raft ?= 8000
FB = $(B)/fuzz
FUZZFLAGS = -fsanitize=address,undefined -fno-sanitize-recover=undefined -O1 -g
FUZZERS = $(patsubst test/%.c,$(FB)/%,$(wildcard test/fuzz_*.c))

$(FB)/%.o: %.c
	@mkdir -p $(@D)
	@$(CLANG) -std=gnu11 -D_GNU_SOURCE -Iinclude -I. $(TEST_CFLAGS) \
	  $(FUZZFLAGS) -fsanitize=fuzzer-no-link -MMD -MP -c $< -o $@

$(FB)/fuzz_%: $(FB)/test/fuzz_%.o $(PLATFORM_OBJ:$(B)/%=$(FB)/%) $(LIBSRC:%.c=$(FB)/%.o)
	@$(CLANG) $(FUZZFLAGS) -fsanitize=fuzzer -o $@ $^ $(LIBS)

fuzz: $(FUZZERS)
	@for f in $(FUZZERS); do \
	  n=$$(basename $$f | sed s/fuzz_//); mkdir -p $(FB)/corpus/$$n; c=; \
	  runs=$(FUZZ_RUNS); [ $$n = raft ] && runs=$(FUZZ_RUNS_raft); \
	  [ -d test/corpus/$$n ] && c=test/corpus/$$n; \
	  $$f -runs=$$runs -max_len=4096 -seed=1 -print_final_stats=1 $(FB)/corpus/$$n $$c \
	    2>$(FB)/$$n.log || { tail -30 $(FB)/$$n.log; exit 1; }; \
	  echo "$$n: $$(grep -E 'number_of_executed_units|stat::operations' $(FB)/$$n.log | tr '\n' ' ')"; done

# Line coverage of the decision modules by the test programs, without the
# scripts.
DECISIONS = lib/raft lib/control lib/route lib/admit lib/sql lib/entry/xchg.c lib/entry/pool.c lib/entry/plan.c
coverage:
	@$(MAKE) --no-print-directory B=build/cov OPT="-O1 -g --coverage" EXTRA_LDFLAGS=--coverage tests >/dev/null
	@for t in $(notdir $(TESTSRC:.c=)); do build/cov/test/$$t >/dev/null 2>&1 || echo "$$t failed"; done
	@gcovr -r . --object-directory build/cov $(addprefix -f ,$(DECISIONS)) --exclude test -s 2>/dev/null

fmt:
	@clang-format --dry-run -Werror $(CSRC)

format:
	clang-format -i $(CSRC)

lint:
	@PKGS="$(TEST_PKGS)" tools/lint $(CSRC)

# Compares what the build of deploy/system.toml uses with the list there.
check-packages:
	@sh test/packages.sh

clean:
	rm -rf $(B)

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib $(DESTDIR)$(PREFIX)/include/pimentopost
	install -m 755 $(B)/bin/pimentopostd $(B)/bin/pimentopost $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIBA) $(DESTDIR)$(PREFIX)/lib
	install -m 644 include/*.h $(DESTDIR)$(PREFIX)/include/pimentopost
	@# Without lib/ beside it, the installed events.h must contain what it includes.
	awk '/^#include "\.\.\// { f = $$2; gsub (/"/, "", f); sub (/^\.\.\//, "", f); \
	  while ((getline l < f) > 0) print l; close (f); next } { print }' include/events.h \
	  > $(DESTDIR)$(PREFIX)/include/pimentopost/events.h
	for m in man/*.[1-8]; do \
	  d=$(DESTDIR)$(PREFIX)/share/man/man$${m##*.}; install -d $$d; install -m 644 $$m $$d; done

-include $(wildcard $(LIBOBJ:.o=.d)) $(wildcard $(B)/platform/*.d $(B)/platform/*/*.d) $(wildcard $(B)/cmd/*/*.d $(B)/test/*.d $(B)/bench/*.d)
-include */rules.mk


.PHONY: platform check-packages coverage all deps tests check fmt format lint clean install demo bench fuzz
.SECONDARY:
