#include "record.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace review {
namespace {

constexpr int firstSuccess = 200;
constexpr int lastSuccess = 299;

bool isSuccess(const ending& how)
{
    return how.status >= firstSuccess && how.status <= lastSuccess;
}

/// Long texts are kept as a hash, so that a record of many uploads stays small.
std::string shortened(const std::string& text)
{
    constexpr std::size_t longest = 200;
    if (text.size() <= longest)
        return text;
    return text.substr(0, longest) + "... " + std::to_string(text.size()) + " bytes, hash "
        + std::to_string(std::hash<std::string>()(text));
}

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

double record::elapsed() const
{
    return std::chrono::duration<double>(steady::now() - m_started).count();
}

void record::note(const std::string& text)
{
    const std::lock_guard guard(m_lock);
    std::ostringstream line;
    line << std::fixed << std::setprecision(3) << elapsed() << ' ' << text;
    m_lines.push_back(line.str());
}

void record::addSent(const sent_request& sent)
{
    note("sent " + sent.id + ' ' + sent.method + ' ' + sent.target);
    const std::lock_guard guard(m_lock);
    auto kept = sent;
    kept.body = shortened(sent.body);
    m_sent[sent.id] = std::move(kept);
}

void record::addEnding(const std::string& id, const ending& how)
{
    note("got " + id + ' ' + (how.failure.empty() ? std::to_string(how.status) : how.failure)
        + " at " + how.host + " after " + std::to_string(how.took.count()) + " ms");
    const std::lock_guard guard(m_lock);
    auto kept = how;
    kept.body = shortened(how.body);
    m_endings[id] = std::move(kept);
}

void record::addRun(const run_of_request& run)
{
    note("ran " + run.id + " at " + run.upstream);
    const std::lock_guard guard(m_lock);
    auto kept = run;
    kept.body = shortened(run.body);
    kept.answer = shortened(run.answer);
    m_runs.emplace(run.id, std::move(kept));
}

std::size_t record::sentCount(const std::string& part) const
{
    const std::lock_guard guard(m_lock);
    return static_cast<std::size_t>(std::count_if(m_sent.begin(), m_sent.end(),
        [&](const auto& each) { return each.first.find(part) != std::string::npos; }));
}

std::size_t record::successCount(const std::string& part) const
{
    const std::lock_guard guard(m_lock);
    return static_cast<std::size_t>(
        std::count_if(m_endings.begin(), m_endings.end(), [&](const auto& each) {
            return isSuccess(each.second) && each.first.find(part) != std::string::npos;
        }));
}

std::size_t record::runCount() const
{
    const std::lock_guard guard(m_lock);
    return m_runs.size();
}

std::vector<std::string> record::mixed() const
{
    const std::lock_guard guard(m_lock);
    std::vector<std::string> found;
    for (const auto& each : m_endings) {
        const auto& id = each.first;
        const auto& how = each.second;
        if (!isSuccess(how))
            continue;
        const auto [first, last] = m_runs.equal_range(id);
        const bool isOwn = std::any_of(first, last, [&how](const auto& run) {
            return run.second.signature == how.signature && run.second.answer == how.body;
        });
        if (!isOwn)
            found.push_back(id + " got " + std::to_string(how.status) + " with signature '"
                + how.signature + "' and body '" + how.body.substr(0, 60) + "' at " + how.host);
    }
    return found;
}

std::vector<std::string> record::unasked() const
{
    const std::lock_guard guard(m_lock);
    std::vector<std::string> found;
    for (const auto& [id, run] : m_runs) {
        const auto sent = m_sent.find(id);
        const bool isSame = sent != m_sent.end() && sent->second.method == run.method
            && sent->second.target == run.target && sent->second.body == run.body;
        if (!isSame)
            found.push_back(
                id + " ran at " + run.upstream + " as " + run.method + ' ' + run.target);
    }
    return found;
}

std::vector<std::string> record::twice() const
{
    const std::lock_guard guard(m_lock);
    std::vector<std::string> found;
    for (const auto& [id, sent] : m_sent) {
        if (!sent.mayRepeat && m_runs.count(id) > 1)
            found.push_back(id + " ran " + std::to_string(m_runs.count(id)) + " times");
    }
    return found;
}

std::vector<std::string> record::refusedButRan() const
{
    const std::lock_guard guard(m_lock);
    std::vector<std::string> found;
    for (const auto& [id, how] : m_endings) {
        const auto sent = m_sent.find(id);
        const bool counts = sent != m_sent.end() && !sent->second.mayRepeat;
        if (counts && promisesNotRun(how.status) && m_runs.contains(id))
            found.push_back(id + " got " + std::to_string(how.status) + " but ran at "
                + m_runs.find(id)->second.upstream);
    }
    return found;
}

std::vector<std::string> record::lost() const
{
    const std::lock_guard guard(m_lock);
    std::vector<std::string> found;
    for (const auto& [id, how] : m_endings) {
        const bool isClosed = how.failure == "closed" || how.failure == "broken";
        if (isClosed && how.wasKept && m_runs.contains(id))
            found.push_back(id + " was closed at " + how.host + ", began to run at "
                + m_runs.find(id)->second.upstream);
    }
    return found;
}

std::size_t record::unansweredAfter(milliseconds time) const
{
    const std::lock_guard guard(m_lock);
    return static_cast<std::size_t>(
        std::count_if(m_endings.begin(), m_endings.end(), [time](const auto& each) {
            const auto& how = each.second;
            return how.took > time || (how.failure == "timeout" && how.took >= time);
        }));
}

void record::write(const std::string& path) const
{
    const std::lock_guard guard(m_lock);
    std::ofstream file(path);
    for (const auto& line : m_lines)
        file << line << '\n';
}

} // namespace review
