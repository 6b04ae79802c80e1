# Build, test and demonstrate mangoloom. `make help` lists the targets.
CC ?= gcc
CXX ?= g++
B ?= build
PKGS = libevent libevent_openssl openssl glib-2.0 json-glib-1.0 argtable2 libtirpc libsodium libxxhash gsl libpq
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null | sed 's/-I/-isystem /g')
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null)
OPT ?= -O2 -g
SAN ?=
WARN = -Wall -Wextra -Wno-unused-parameter -Wmissing-prototypes -Wshadow -Werror
CFLAGS_ALL = -std=gnu11 -D_GNU_SOURCE $(OPT) $(SAN) $(WARN) -Isrc -Idecide -Iplatform -Itests $(PKG_CFLAGS) -MMD -MP
GEN_CFLAGS = $(filter-out -W%,$(CFLAGS_ALL)) -w

DECIDE_SRC = $(wildcard decide/*.c)
SRC = $(filter-out src/mango_xdr.c,$(wildcard src/*.c))
PLATFORM_SRC = $(wildcard platform/*.c)
LIB_OBJ = $(PLATFORM_SRC:%.c=$(B)/%.o) $(DECIDE_SRC:%.c=$(B)/%.o) $(SRC:%.c=$(B)/%.o) $(B)/src/mango_xdr.o $(B)/src/toml-shim.o
LIB = $(B)/libmangoloom.a
PROGS = $(B)/mangoloomd $(B)/mangoloom $(B)/mangoload
STANDINS = $(B)/standin-platform $(B)/standin-db $(B)/standin-prepared $(B)/faultproxy
TEST_SRC = $(wildcard tests/test-*.c)
TESTS = $(TEST_SRC:tests/%.c=$(B)/tests/%)
UNIT_TESTS = $(filter-out $(B)/tests/test-it-%,$(TESTS))
IT_TESTS = $(filter $(B)/tests/test-it-%,$(TESTS))
HARNESS_OBJ = $(B)/tests/harness.o $(B)/tests/harness-sql.o $(B)/tests/harness-line.o $(B)/tests/harness-writer.o $(B)/tests/harness-owner.o

all: $(PROGS) $(STANDINS)

help:
	@echo "all (programs), tests, check (all tests), unit, it, demo, format, lint, clean"

$(LIB): $(LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $^

$(B)/%.o: %.c
	@mkdir -p $(@D)
	@$(CC) $(CFLAGS_ALL) -c $< -o $@

$(B)/src/mango_xdr.o: src/mango_xdr.c
	@mkdir -p $(@D)
	@$(CC) $(GEN_CFLAGS) -c $< -o $@

$(B)/src/toml-shim.o: src/toml-shim.cc
	@mkdir -p $(@D)
	@$(CXX) -std=c++17 -O1 -g -Wall $(SAN) -Isrc -MMD -MP -c $< -o $@

$(B)/mangoloomd: $(B)/cmd/mangoloomd.o $(LIB)
	@$(CXX) $(SAN) $^ -o $@ $(PKG_LIBS)
$(B)/mangoloom: $(patsubst %.c,$(B)/%.o,$(wildcard cmd/mangoloom-*.c cmd/mangoloom.c)) $(LIB)
	@$(CXX) $(SAN) $^ -o $@ $(PKG_LIBS)
$(B)/mangoload: $(patsubst %.c,$(B)/%.o,$(wildcard cmd/mangoload*.c)) $(LIB)
	@$(CXX) $(SAN) $^ -o $@ $(PKG_LIBS)
$(B)/standin-platform: $(B)/tests/standin-platform.o $(LIB)
	@$(CXX) $(SAN) $^ -o $@ $(PKG_LIBS)
$(B)/standin-db: $(patsubst %.c,$(B)/%.o,$(wildcard tests/standin-db*.c)) $(LIB)
	@$(CXX) $(SAN) $^ -o $@ $(PKG_LIBS)
$(B)/standin-prepared: $(patsubst %.c,$(B)/%.o,$(wildcard tests/standin-prepared*.c)) $(LIB)
	@$(CXX) $(SAN) $^ -o $@ $(PKG_LIBS)
$(B)/faultproxy: $(B)/tests/faultproxy.o $(LIB)
	@$(CXX) $(SAN) $^ -o $@ $(PKG_LIBS)
$(B)/measure: $(B)/tests/measure.o $(HARNESS_OBJ) $(LIB)
	@$(CXX) $(SAN) $^ -o $@ $(PKG_LIBS) -lcunit
$(B)/tests/test-%: $(B)/tests/test-%.o $(HARNESS_OBJ) $(LIB)
	@$(CXX) $(SAN) $^ -o $@ $(PKG_LIBS) -lcunit

tests: all $(TESTS)

unit: $(UNIT_TESTS)
	@tests/run-tests $(UNIT_TESTS)

it: all $(IT_TESTS)
	@BIN=$(B) tests/run-tests $(IT_TESTS)

check: deps
	@$(MAKE) --no-print-directory -j$$(nproc) tests
	@BIN=$(B) tests/run-tests $(UNIT_TESTS) $(IT_TESTS)

deps:
	@./install-deps

demo: deps
	@$(MAKE) --no-print-directory -j$$(nproc) all
	@BIN=$(B) examples/demo.sh

FORMATTED = $(filter-out src/mango_xdr.c src/mango.h,$(wildcard decide/*.[ch] platform/*.[ch] src/*.[ch] cmd/*.[ch] tests/*.[ch])) src/toml-shim.cc

format:
	@clang-format -i $(FORMATTED)

lint:
	@tests/check-layers
	@clang-format --dry-run -Werror $(FORMATTED)
	@cppcheck --std=c11 --enable=warning,performance,portability --inline-suppr --error-exitcode=1 --quiet \
		--suppress=missingInclude --suppress=literalWithCharPtrCompare -j$$(nproc) -Isrc -Idecide \
		'-DG_GNUC_PRINTF(a,b)=' '-DTAILQ_HEAD(n,t)=struct n{struct t*tqh_first;struct t**tqh_last;}' \
		'-DTAILQ_FOREACH(v,h,f)=for((v)=(h)->tqh_first;(v);(v)=(v)->f.tqe_next)' \
		'-DTAILQ_FOREACH_SAFE(v,h,f,n)=for((v)=(h)->tqh_first;(v)&&((n)=(v)->f.tqe_next,1);(v)=(n))' \
		$(filter %.c,$(FORMATTED))

generate:
	cd src && rm -f mango.h mango_xdr.c && rpcgen -h -o mango.h mango.x && rpcgen -c -o mango_xdr.c mango.x

# Figures for docs/: `make measure`, or one of them by `build/measure latency`;
# `build/measure load`: classes and teams on the prepared platform, with the new settings off and on.
measure: all $(B)/measure
	BIN=$(B) $(B)/measure

clean:
	rm -rf $(B)

.PHONY: all help tests unit it check deps demo format lint generate measure clean
.SECONDARY:
-include $(shell find $(B) -name '*.d' 2>/dev/null)
