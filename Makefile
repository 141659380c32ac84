# Build of bulrushpost. Targets: all, tests, bench, format, format-check, lint, clean.
# SAN=1 builds with address and undefined-behaviour sanitizers into build-san.

BUILD ?= $(if $(SAN),build-san,build)
CC ?= cc
PKGS = glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 libprotobuf-c yaml-0.1 json-glib-1.0
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) | sed 's/-I/-isystem /g')
PKG_LIBS := $(shell pkg-config --libs $(PKGS)) -largtable2 -lm
VERSION := 0.1.0
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
       -Wpointer-arith -Wvla -Wformat=2 -Wno-unused-parameter
SANFLAGS = $(if $(SAN),-fsanitize=address$(comma)undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
comma = ,
CFLAGS ?= -O2 -g
ALL_CFLAGS = -std=c11 -D_GNU_SOURCE -DBP_VERSION='"$(VERSION)"' $(WARN) $(CFLAGS) $(SANFLAGS) \
             -Iinclude -Isrc -I. -Itests $(PKG_CFLAGS) -MMD -MP
LDFLAGS += $(SANFLAGS)

GEN_SRCS := $(wildcard src/proto/*.pb-c.c)
LIB_SRCS := $(filter-out src/cli/main.c,$(sort $(shell find src platform -name '*.c')))
LIB_OBJS := $(LIB_SRCS:%.c=$(BUILD)/%.o)
HAND_SRCS := $(sort $(shell find src platform include tests bench -name '*.[ch]' ! -name '*.pb-c.[ch]'))
TEST_SRCS := $(sort $(shell find tests -name 'test_*.c'))
TEST_BINS := $(TEST_SRCS:%.c=$(BUILD)/%)
TEST_LIB_SRCS := $(filter-out tests/support/test_%,$(sort $(wildcard tests/support/*.c)))
TEST_LIB_OBJS := $(TEST_LIB_SRCS:%.c=$(BUILD)/%.o)
SCHEDULE_OBJS := $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard tests/schedule/*.c)))
STANDIN_OBJS := $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard tests/standin/*.c)))
BENCH_SRCS := $(sort $(wildcard bench/*.c))
BENCH_OBJS := $(BENCH_SRCS:%.c=$(BUILD)/%.o)

.PHONY: all tests bench format format-check lint proto clean
.SECONDARY:

all: $(BUILD)/bulrushpost

$(BUILD)/bulrushpost: $(BUILD)/src/cli/main.o $(BUILD)/libbulrushpost.a
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/libbulrushpost.a: $(LIB_OBJS)
	rm -f $@
	ar rcs $@ $^

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	@echo CC $<
	@$(CC) $(ALL_CFLAGS) -c -o $@ $<

$(BUILD)/src/proto/%.o: src/proto/%.c
	@mkdir -p $(dir $@)
	@echo CC $<
	@$(CC) $(ALL_CFLAGS) -Wno-shadow -c -o $@ $<

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(TEST_LIB_OBJS) $(BUILD)/libbulrushpost.a
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS) -lcunit

# The fakes of this test replace the platform clients of the library.
$(BUILD)/tests/scheduler/test_schedules: $(BUILD)/tests/scheduler/test_schedules.o \
    $(BUILD)/tests/support/runner.o $(SCHEDULE_OBJS) $(BUILD)/libbulrushpost.a
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS) -lcunit

$(BUILD)/standin: $(STANDIN_OBJS) $(BUILD)/libbulrushpost.a
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/bench/bench: $(BENCH_OBJS) $(BUILD)/libbulrushpost.a
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

tests: all $(TEST_BINS) $(if $(STANDIN_OBJS),$(BUILD)/standin)

bench: $(if $(BENCH_OBJS),$(BUILD)/bench/bench)

proto:
	protoc-c --c_out=src --proto_path=. proto/*.proto

format:
	clang-format -i $(HAND_SRCS)

format-check:
	clang-format --dry-run -Werror $(HAND_SRCS)

lint:
	printf '%s\n' $(filter %.c,$(HAND_SRCS)) | xargs -P 8 -I{} clang-tidy --quiet {} \
	    -- -std=c11 -D_GNU_SOURCE -DBP_VERSION='"lint"' -Iinclude -Isrc -I. -Itests $(PKG_CFLAGS)

clean:
	rm -rf build build-san

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
