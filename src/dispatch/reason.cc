#include "pimentomast/dispatch.h"

#include <array>

namespace pimentomast::proxy {
namespace {

struct reason_row {
    std::string_view name;
    int status;
};

constexpr std::array<reason_row, static_cast<std::size_t>(reason::Last) + 1> reasonRows { {
    { "bare-line-ending", 400 },
    { "head-too-large", 431 },
    { "line-too-long", 431 },
    { "too-many-fields", 431 },
    { "head-timeout", 408 },
    { "malformed-head", 400 },
    { "folded-field", 400 },
    { "unknown-method", 501 },
    { "bad-target", 400 },
    { "reserved-path", 403 },
    { "bad-version", 505 },
    { "bad-host", 400 },
    { "bad-length", 400 },
    { "repeated-length", 400 },
    { "length-and-encoding", 400 },
    { "unsupported-encoding", 501 },
    { "reserved-field", 400 },
    { "bad-connection-field", 400 },
    { "unsupported-expectation", 417 },
    { "too-many-connections", 503 },
    { "no-table", 503 },
    { "no-service", 404 },
    { "no-key", 400 },
    { "ambiguous", 400 },
    { "bad-key", 400 },
    { "malformed-body", 400 },
    { "body-timeout", 408 },
    { "deadline", 504 },
    { "caller-gone", 499 },
    { "connect-failed", 503 },
    { "no-connection", 503 },
    { "target-closed", 502 },
    { "target-timeout", 504 },
    { "target-silent", 504 },
    { "target-answer-malformed", 502 },
    { "target-answer-unframed", 502 },
    { "refusal-unproved", 502 },
    { "load-report-malformed", 502 },
    { "warmup-report-malformed", 502 },
    { "answer-broken", 502 },
    { "answer-continued", 502 },
    { "target-shed", 503 },
    { "target-not-owner", 503 },
    { "target-draining", 503 },
    { "attempt-abandoned", 504 },
    { "body-not-replayable", 503 },
    { "body-memory", 503 },
    { "link-full", 503 },
    { "host-stopping", 503 },
    { "host-stopped", 504 },
    { "internal", 500 },
} };

const reason_row& rowOf(reason why) noexcept { return reasonRows[static_cast<std::size_t>(why)]; }

} // namespace

std::string_view name(reason why) noexcept { return rowOf(why).name; }

int statusOf(reason why) noexcept { return rowOf(why).status; }

} // namespace pimentomast::proxy
