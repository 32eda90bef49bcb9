#include "arrival-times.h"

namespace pimentomast::proxy::detail {

void arrival_times::received(std::size_t bytes, instant at)
{
    if (bytes > 0)
        m_pieces.push_back({ bytes, at });
}

instant arrival_times::consume(std::size_t bytes)
{
    instant last {};
    std::size_t emptied = 0;
    for (piece& each : m_pieces) {
        if (bytes == 0)
            break;
        const std::size_t taken = std::min(bytes, each.bytes);
        each.bytes -= taken;
        bytes -= taken;
        last = each.at;
        emptied += each.bytes == 0 ? 1 : 0;
    }
    m_pieces.erase(m_pieces.begin(), m_pieces.begin() + static_cast<std::ptrdiff_t>(emptied));
    return last;
}

void arrival_times::reset(std::size_t bytes, instant at)
{
    m_pieces.clear();
    received(bytes, at);
}

} // namespace pimentomast::proxy::detail
