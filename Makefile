# Builds, tests and measures acaciadale. All targets write below $(BUILD) only.
#
# Sources are found by folder, so that a new file needs no change here:
#   lib/<module>/*.c *.cc, platform/*.c -> one static archive
#   programs/<name>/*.c               -> $(BUILD)/bin/acacia-<name> (ctl: acaciactl)
#   tests/standin/<name>/*.c          -> $(BUILD)/bin/standin-<name>
#   tests/support/*.c *.cc            -> linked into every test and stand-in
#   tests/<folder>/test_*.c *.cc      -> one test binary each, run by "check"
#   tests/<folder>/test_*.sh          -> one test script each, run by "check" after the binaries
#   tests/bench, slopes, soak: *.c    -> $(BUILD)/bin/acacia-bench, acacia-slopes, acacia-soak
#   tests/fuzz/fuzz_*.c               -> one libFuzzer target each (make fuzz)

BUILD ?= build
# V=1 prints the full commands.
Q := $(if $(V),,@)
CC := gcc
CXX := g++
SANITIZE ?=
PKGS := glib-2.0 libzmq liburcu libmicrohttpd neon argtable2 libprotobuf-c jansson libxxhash libcurl
WARN := -Wall -Wextra -Werror
OPT ?= -O2 -g
COMMON_FLAGS := $(OPT) $(WARN) -D_GNU_SOURCE -Ilib -I. -Itests $(shell pkg-config --cflags $(PKGS)) \
                $(SANITIZE)
CFLAGS := -std=gnu11 -Wmissing-prototypes -Wstrict-prototypes $(COMMON_FLAGS)
CXXFLAGS := -std=c++17 $(COMMON_FLAGS)
LDLIBS := $(shell pkg-config --libs $(PKGS)) -llog4c -lm -lpthread
TEST_LDLIBS := -lcmocka -lrapidcheck

LIB_SRC := $(wildcard lib/*/*.c) $(wildcard lib/*/*.cc) $(wildcard platform/*.c)
LIB_OBJ := $(patsubst %,$(BUILD)/obj/%.o,$(LIB_SRC))
LIB := $(BUILD)/libacacia.a

PROGRAM_DIRS := $(patsubst programs/%/,%,$(sort $(dir $(wildcard programs/*/*.c))))
program_name = $(if $(filter ctl,$(1)),acaciactl,acacia-$(1))
PROGRAMS := $(foreach p,$(PROGRAM_DIRS),$(BUILD)/bin/$(call program_name,$(p)))
STANDIN_DIRS := $(patsubst tests/standin/%/,%,$(sort $(dir $(wildcard tests/standin/*/*.c))))
STANDINS := $(patsubst %,$(BUILD)/bin/standin-%,$(STANDIN_DIRS))
SUPPORT_OBJ := $(patsubst %,$(BUILD)/obj/%.o,$(wildcard tests/support/*.c tests/support/*.cc))
TEST_SRC := $(wildcard tests/*/test_*.c) $(wildcard tests/*/test_*.cc)
TESTS := $(patsubst tests/%,$(BUILD)/tests/%.test,$(TEST_SRC))
TEST_SCRIPTS := $(wildcard tests/*/test_*.sh)
MEASURES := $(if $(wildcard tests/bench/*.c),$(BUILD)/bin/acacia-bench) \
            $(if $(wildcard tests/slopes/*.c),$(BUILD)/bin/acacia-slopes) \
            $(if $(wildcard tests/soak/*.c),$(BUILD)/bin/acacia-soak)
FUZZERS := $(patsubst tests/fuzz/%.c,$(BUILD)/fuzz/%,$(wildcard tests/fuzz/fuzz_*.c))

# Sources for the formatter and the linter, without generated code.
OWN_SRC := $(filter-out %.pb-c.c %.pb-c.h,$(wildcard lib/*/*.[ch] lib/*/*.cc platform/*.[ch] \
             programs/*/*.[ch] \
             tests/*/*.[ch] tests/*/*.cc tests/standin/*/*.[ch] examples/*/*.[ch]))
LINT_SRC := $(filter %.c,$(OWN_SRC))

.PHONY: all programs check check-unit bench bench-full slopes lint format format-check demo fuzz soak docs \
        proto mutants clean
.SECONDARY:

all: $(PROGRAMS) $(STANDINS) $(MEASURES)

# The programs of an installation, without stand-ins and measurements.
programs: $(PROGRAMS)

$(BUILD)/obj/%.c.o: %.c
	@mkdir -p $(@D)
	$(if $(V),,@echo "  CC   $<")
	$(Q)$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/obj/%.cc.o: %.cc
	@mkdir -p $(@D)
	$(if $(V),,@echo "  CXX  $<")
	$(Q)$(CXX) $(CXXFLAGS) -MMD -MP -c -o $@ $<

$(LIB): $(LIB_OBJ)
	@mkdir -p $(@D)
	@rm -f $@
	$(Q)ar rcs $@ $^

define program_rule
$(BUILD)/bin/$(call program_name,$(1)): $(patsubst %,$(BUILD)/obj/%.o,$(wildcard programs/$(1)/*.c)) $(LIB)
	@mkdir -p $$(@D)
	$(if $(V),,@echo "  LINK $$@")
	$(Q)$(CXX) $(SANITIZE) -o $$@ $$^ $(LDLIBS)
endef
$(foreach p,$(PROGRAM_DIRS),$(eval $(call program_rule,$(p))))

define standin_rule
$(BUILD)/bin/standin-$(1): $(patsubst %,$(BUILD)/obj/%.o,$(wildcard tests/standin/$(1)/*.c)) $(SUPPORT_OBJ) $(LIB)
	@mkdir -p $$(@D)
	$(if $(V),,@echo "  LINK $$@")
	$(Q)$(CXX) $(SANITIZE) -o $$@ $$^ $(LDLIBS) $(TEST_LDLIBS)
endef
$(foreach s,$(STANDIN_DIRS),$(eval $(call standin_rule,$(s))))

define measure_rule
$(BUILD)/bin/acacia-$(1): $(patsubst %,$(BUILD)/obj/%.o,$(wildcard tests/$(1)/*.c)) $(SUPPORT_OBJ) $(LIB)
	@mkdir -p $$(@D)
	$(if $(V),,@echo "  LINK $$@")
	$(Q)$(CXX) $(SANITIZE) -o $$@ $$^ $(LDLIBS) $(TEST_LDLIBS)
endef
$(foreach m,bench slopes soak,$(eval $(call measure_rule,$(m))))

$(BUILD)/tests/%.test: $(BUILD)/obj/tests/%.o $(SUPPORT_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(if $(V),,@echo "  LINK $@")
	$(Q)$(CXX) $(SANITIZE) -o $@ $^ $(LDLIBS) $(TEST_LDLIBS)

# run-tests.sh prints each failure, applies KNOWN-RED.txt and counts the proved guarantees.
check: all $(TESTS)
	@BUILD=$(BUILD) scripts/run-tests.sh $(TESTS) $(TEST_SCRIPTS)

# Runs the test binaries only, without the scripts that start processes.
check-unit: $(TESTS)
	@BUILD=$(BUILD) scripts/run-tests.sh $(TESTS)

bench: $(BUILD)/bin/acacia-bench
	$(BUILD)/bin/acacia-bench --short --out $(BUILD)/bench

bench-full: $(BUILD)/bin/acacia-bench
	$(BUILD)/bin/acacia-bench --out $(BUILD)/bench

slopes: all
	BUILD=$(BUILD) scripts/slopes.sh

soak: all $(TESTS)
	BUILD=$(BUILD) scripts/soak.sh $(TESTS)

# Disables each mechanism in a scratch copy and expects the test that covers it to fail.
mutants:
	BUILD=$(BUILD) scripts/check-mutants.sh

lint:
	@BUILD=$(BUILD) scripts/lint.sh $(LINT_SRC)

format:
	@clang-format -i $(OWN_SRC)

format-check:
	@clang-format --dry-run -Werror $(OWN_SRC)
	@echo "format-check: $(words $(OWN_SRC)) files clean"

demo:
	scripts/deps.sh
	$(MAKE) -j all
	BUILD=$(BUILD) scripts/demo.sh

docs:
	doxygen docs/Doxyfile

# Regenerates the committed protobuf code. Other targets do not need protoc-c.
proto:
	cd lib && protoc-c --c_out=. wire/message.proto state/record.proto batch/ledger.proto

$(BUILD)/fuzz/fuzz_%: tests/fuzz/fuzz_%.c $(LIB_SRC)
	@mkdir -p $(@D)
	$(MAKE) BUILD=$(BUILD)/fuzz-lib CC=clang CXX=clang++ \
	  SANITIZE="-fsanitize=address,undefined,float-cast-overflow,fuzzer-no-link" $(BUILD)/fuzz-lib/libacacia.a
	clang $(CFLAGS) -fsanitize=address,undefined,float-cast-overflow,fuzzer -o $@.o -c $<
	clang++ -fsanitize=address,undefined,float-cast-overflow,fuzzer -o $@ $@.o $(BUILD)/fuzz-lib/libacacia.a $(LDLIBS)

fuzz: $(FUZZERS)
	BUILD=$(BUILD) scripts/fuzz.sh $(FUZZERS)

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD)/obj -name '*.d' 2>/dev/null)
