#include "pimentomast/store.h"

#include <Poco/UUIDGenerator.h>

namespace pimentomast::store {

namespace {

constexpr int maxAttempts = 3;

/// Determines the result of a write of unknown outcome from the current row.
/// Returns nothing while the row still has the expected version.
std::optional<write_outcome> settledBy(
    const std::optional<row>& current, row_version expected, const write_id& id, const error& cause)
{
    const auto version = current ? current->version : row_version { 0 };
    if (version == expected)
        return std::nullopt;
    if (current && current->writer == id)
        return write_accepted { version };
    if (version.value() > expected.value() + 1)
        return write_unknown { { cause.step, cause.peer, "the row was written again since" } };
    return write_conflict { current };
}

/// Determines the result of a write from its retry. A conflict with a row that has the id of this
/// write means that an earlier attempt took effect; after a refusal one may still take effect.
write_outcome outcomeOfRetry(
    write_outcome outcome, row_version expected, const write_id& id, const error& cause)
{
    if (const auto* conflict = std::get_if<write_conflict>(&outcome))
        return settledBy(conflict->current, expected, id, cause).value_or(std::move(outcome));
    if (const auto* refused = std::get_if<write_refused>(&outcome))
        return write_unknown { refused->cause };
    return outcome;
}

} // namespace

write_outcome writeSettled(services& platform, const std::string& key, row_version expected,
    const std::string& value, const write_id& id)
{
    auto outcome = platform.write(key, expected, value, id);
    for (int attempt = 1; attempt < maxAttempts; ++attempt) {
        const auto* unknown = std::get_if<write_unknown>(&outcome);
        if (!unknown)
            return outcome;
        const error cause = unknown->cause;
        const auto current = platform.read(key);
        if (!current)
            return outcome;
        if (auto settled = settledBy(current.value(), expected, id, cause))
            return *std::move(settled);
        // The first attempt may still arrive. A retry with the same version and id ensures that at
        // most one of them takes effect.
        outcome = outcomeOfRetry(platform.write(key, expected, value, id), expected, id, cause);
    }
    return outcome;
}

write_id newWriteId()
{
    return write_id { Poco::UUIDGenerator::defaultGenerator().createRandom().toString() };
}

} // namespace pimentomast::store
