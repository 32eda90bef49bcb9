#include "pimentomast/peers.h"

namespace pimentomast::peers {
namespace {

constexpr std::array<std::string_view, callKindCount> names { "exchange", "publish", "witness",
    "hold", "renew route", "report load", "relay row" };

} // namespace

std::string_view name(call_kind kind) noexcept { return names.at(static_cast<std::size_t>(kind)); }

message_bytes& bytesOf(call_kind kind) noexcept
{
    static std::array<message_bytes, callKindCount> counts;
    return counts.at(static_cast<std::size_t>(kind));
}

} // namespace pimentomast::peers
