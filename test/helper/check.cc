#include "../helper.h"

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>

namespace pimentomast::test {

namespace {

constexpr milliseconds warmUp { 500 };
constexpr milliseconds lateBytes { 1000 };

std::int64_t nowUs() { return monotonic_clock::now().time_since_epoch().count(); }

} // namespace

load::load(const cluster& system, options chosen)
    : m_system(system)
    , m_options(std::move(chosen))
{
    if (m_options.hosts.empty())
        for (std::size_t i = 0; i < system.hosts().size(); ++i)
            m_options.hosts.push_back(i);
    for (unsigned i = 0; i < m_options.threads; ++i)
        m_threads.emplace_back([this, i] { send(i); });
}

load::~load() { (void)stop(); }

std::vector<told> load::stop()
{
    m_stopping = true;
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
    return std::move(m_told);
}

void load::send(unsigned thread)
{
    std::mt19937 random(m_options.seed * 1000 + thread);
    for (unsigned count = 0; !m_stopping; ++count) {
        const auto& service = m_options.services[random() % m_options.services.size()];
        const bool post = random() % 2 == 0;
        const auto key = "k" + std::to_string(random() % m_options.keys);
        const auto host = m_options.hosts[random() % m_options.hosts.size()];
        std::ostringstream path;
        path << "/" << service << "/" << key << "?request=" << m_options.seed << "-" << thread
             << "-" << count;
        told answer { post ? "POST" : "GET", path.str(), {}, nowUs() };
        const http_call request { answer.method, answer.path, post ? "one crate" : "",
            { { "X-Caller", "caller" + std::to_string(thread) } } };
        answer.reply = m_system.send(host, request);
        answer.endUs = nowUs();
        {
            const std::lock_guard lock(m_mutex);
            m_told.push_back(std::move(answer));
        }
        std::this_thread::sleep_for(m_options.pause);
    }
}

scenario::scenario(const cluster_options& options, load::options chosen)
    : system(options)
    , callers(system, std::move(chosen))
{
    std::this_thread::sleep_for(warmUp);
}

void scenario::finish()
{
    system.waitServed();
    std::this_thread::sleep_for(warmUp);
    answers = callers.stop();
    // Bytes that were under way may still reach a target.
    std::this_thread::sleep_for(lateBytes);
    const auto served = std::any_of(
        answers.begin(), answers.end(), [](const told& answer) { return answer.answered(); });
    if (!served)
        throw failure({ "check answers", "", "no request was answered" });
    expectNoBreach(system, answers);
}

void expectNoBreach(const cluster& system, const std::vector<told>& answers,
    const std::set<std::string>& repeatablePosts)
{
    if (const auto found = breaches(system, answers, repeatablePosts); !found.empty())
        throw failure({ "check promises", "", found });
}

cluster_options threeKeyedTargets()
{
    return { 3, { { "w1", "weights" }, { "w2", "weights" }, { "w3", "weights" } } };
}

target_records cluster::records() const
{
    const auto startedUs = nowUs();
    target_records all;
    for (const auto& target : m_targets) {
        all.services[target.spec.id] = target.spec.service;
        std::ifstream file(target.recordFile);
        readRecord(file, target.killedUs, all);
    }
    endHoldings(all, startedUs);
    return all;
}

std::vector<run> cluster::runs() const { return records().runs; }

std::string breaches(const cluster& system, const std::vector<told>& answers,
    const std::set<std::string>& repeatablePosts)
{
    std::string lines;
    for (const auto& each : breaches(system.records(), answers, repeatablePosts))
        lines += each + "\n";
    return lines;
}

std::int64_t longestGapUs(const std::vector<told>& answers, const std::string& service)
{
    std::vector<std::int64_t> ends;
    for (const auto& answer : answers)
        if (answer.answered() && answer.path.starts_with("/" + service + "/"))
            ends.push_back(answer.endUs);
    std::sort(ends.begin(), ends.end());
    std::int64_t longest = 0;
    for (std::size_t i = 1; i < ends.size(); ++i)
        longest = std::max(longest, ends[i] - ends[i - 1]);
    return longest;
}

} // namespace pimentomast::test
