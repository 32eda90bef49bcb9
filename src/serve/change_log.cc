#include "pimentomast/serve.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace pimentomast::serve {
namespace {

/// Changes that are kept, and how many of them one message carries.
constexpr std::size_t maxKept = 512;
constexpr std::size_t maxPerMessage = 128;

} // namespace

void change_log::add(const changed_row& row)
{
    m_rows.push_back(row);
    if (m_rows.size() <= maxKept)
        return;
    startAfter(m_rows.front().version);
    m_rows.pop_front();
}

void change_log::startAfter(row_version version) { m_after = std::max(m_after, version); }

row_changes change_log::after(row_version version, row_version own) const
{
    row_changes found;
    std::set<std::string_view> targets;
    bool isTruncated = false;
    for (auto each = m_rows.rbegin(); each != m_rows.rend() && !isTruncated; ++each) {
        const bool isLatest = targets.insert(each->key).second;
        if (!isLatest || each->version <= version)
            continue;
        isTruncated = found.rows.size() == maxPerMessage;
        if (!isTruncated)
            found.rows.push_back(*each);
    }
    std::reverse(found.rows.begin(), found.rows.end());
    const bool isSameEra = store::eraOf(version) == store::eraOf(own);
    if (!isTruncated && version >= m_after && version < own && isSameEra)
        found.complete = row_span { version, own };
    return found;
}

} // namespace pimentomast::serve
