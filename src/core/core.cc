#include "pimentomast/core.h"

#include <ctime>
#include <xxhash.h>

namespace pimentomast {

key_hash hashKey(std::string_view key) noexcept
{
    return key_hash { XXH3_64bits(key.data(), key.size()) };
}

monotonic_clock::time_point monotonic_clock::now() noexcept
{
    timespec reading {};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    const auto sinceBoot
        = std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(sinceBoot));
}

std::string endpoint::text() const { return ip + ":" + std::to_string(port); }

std::string error::text() const
{
    std::string text = step;
    if (!peer.empty())
        text += " (" + peer + ")";
    return text + ": " + reason;
}

failure::failure(error cause)
    : std::runtime_error(cause.text())
    , m_cause(std::move(cause))
{
}

} // namespace pimentomast
