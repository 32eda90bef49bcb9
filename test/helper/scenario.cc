#include "../helper.h"

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>

namespace pimentomast::test {

namespace {

constexpr milliseconds warmUpTime { 500 };
constexpr milliseconds lateDeliveryDelay { 1000 };

std::int64_t nowUs() { return monotonic_clock::now().time_since_epoch().count(); }

} // namespace

load_generator::load_generator(const cluster& system, options chosen)
    : m_system(system)
    , m_options(std::move(chosen))
{
    if (m_options.hosts.empty())
        for (std::size_t i = 0; i < system.hosts().size(); ++i)
            m_options.hosts.push_back(i);
    for (unsigned i = 0; i < m_options.threads; ++i)
        m_threads.emplace_back([this, i] { send(i); });
}

load_generator::~load_generator() { (void)stop(); }

std::vector<request_result> load_generator::stop()
{
    m_stopping = true;
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
    return std::move(m_results);
}

void load_generator::send(unsigned thread)
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
        request_result answer { post ? "POST" : "GET", path.str(), {}, nowUs() };
        const http_call request { answer.method, answer.path, post ? "one crate" : "",
            { { "X-Caller", "caller" + std::to_string(thread) } } };
        answer.reply = m_system.send(host, request);
        answer.endUs = nowUs();
        {
            const std::lock_guard lock(m_mutex);
            m_results.push_back(std::move(answer));
        }
        std::this_thread::sleep_for(m_options.pause);
    }
}

scenario::scenario(const cluster_options& options, load_generator::options chosen)
    : system(options)
    , callers(system, std::move(chosen))
{
    std::this_thread::sleep_for(warmUpTime);
}

void scenario::finish()
{
    system.waitUntilServed();
    std::this_thread::sleep_for(warmUpTime);
    answers = callers.stop();
    // Bytes in flight may still reach a target.
    std::this_thread::sleep_for(lateDeliveryDelay);
    const auto served = std::any_of(answers.begin(), answers.end(),
        [](const request_result& answer) { return answer.answered(); });
    if (!served)
        throw failure({ "check answers", "", "no request was answered" });
    expectNoViolations(system, answers);
}

void expectNoViolations(const cluster& system, const std::vector<request_result>& answers,
    const std::set<std::string>& repeatablePosts)
{
    if (const auto found = findViolations(system, answers, repeatablePosts); !found.empty())
        throw failure({ "check guarantees", "", found });
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
    truncateIntervals(all, startedUs);
    return all;
}

std::vector<request_run> cluster::runs() const { return records().runs; }

std::string findViolations(const cluster& system, const std::vector<request_result>& answers,
    const std::set<std::string>& repeatablePosts)
{
    std::string lines;
    for (const auto& each : findViolations(system.records(), answers, repeatablePosts))
        lines += each + "\n";
    return lines;
}

std::int64_t longestGapUs(const std::vector<request_result>& answers, const std::string& service)
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
