#include "../helper.h"

#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>

namespace pimentomast::test {

namespace {

using Poco::JSON::Object;

constexpr milliseconds warmUp { 500 };
constexpr milliseconds lateBytes { 1000 };

std::int64_t nowUs() { return monotonic_clock::now().time_since_epoch().count(); }

/// Calls the visitor for each line of the target's record; a last line that a kill cut short is
/// left out.
template <class Visit>
void visitRecord(const cluster::target_process& target, Visit visit)
{
    std::ifstream file(target.recordFile);
    std::string line;
    while (std::getline(file, line)) {
        if (!line.ends_with("}"))
            continue;
        visit(*Poco::JSON::Parser().parse(line).extract<Object::Ptr>());
    }
}

run runFrom(const Object& line)
{
    return { line.getValue<std::string>("target"), line.getValue<std::string>("method"),
        line.getValue<std::string>("path"), line.getValue<std::string>("state"),
        line.getValue<std::int64_t>("start_us"), line.getValue<std::int64_t>("end_us") };
}

std::uint64_t hash(const Object& line, const std::string& field)
{
    return std::stoull(line.getValue<std::string>(field), nullptr, 16);
}

holding holdingFrom(const Object& line)
{
    return { line.getValue<std::string>("target"), hash(line, "first"), hash(line, "last"),
        line.getValue<std::int64_t>("from_us"), line.getValue<std::int64_t>("to_us"),
        line.getValue<std::uint64_t>("epoch"), line.getValue<std::uint64_t>("sequence") };
}

/// A killed process holds nothing after its end, whatever its last lease said.
void endAtKill(holding& held, const std::vector<std::int64_t>& killedUs)
{
    for (const auto kill : killedUs)
        if (held.fromUs < kill)
            held.toUs = std::min(held.toUs, kill);
}

bool overlap(const holding& one, const holding& other)
{
    return one.first <= other.last && other.first <= one.last && one.fromUs < other.toUs
        && other.fromUs < one.toUs;
}

std::string text(const holding& held)
{
    std::ostringstream out;
    out << held.target << " " << std::hex << held.first << "-" << held.last << std::dec << " from "
        << held.fromUs << " to " << held.toUs << " under " << held.epoch << "." << held.sequence;
    return out.str();
}

void checkHolders(const cluster& system, std::ostream& found)
{
    std::map<std::string, std::string> serviceOf;
    for (const auto& target : system.targets())
        serviceOf[target.spec.id] = target.spec.service;
    const auto all = system.holdings();
    for (std::size_t i = 0; i < all.size(); ++i)
        for (std::size_t j = i + 1; j < all.size(); ++j)
            if (all[i].target != all[j].target && overlap(all[i], all[j])
                && serviceOf[all[i].target] == serviceOf[all[j].target])
                found << "two holders: " << text(all[i]) << " and " << text(all[j]) << "\n";
}

bool ownAnswer(const told& answer)
{
    return answer.method == "HEAD" || jsonField(answer.reply.body, "path") == answer.path;
}

} // namespace

std::string jsonField(const std::string& json, const std::string& name)
{
    try {
        const auto object = Poco::JSON::Parser().parse(json).extract<Object::Ptr>();
        return object->optValue<std::string>(name, "");
    } catch (const Poco::Exception&) {
        return {};
    }
}

std::vector<run> cluster::runs() const
{
    std::vector<run> all;
    for (const auto& target : m_targets) {
        std::map<std::pair<std::string, std::int64_t>, run> latest;
        std::vector<run> own;
        visitRecord(target, [&](const Object& line) {
            if (line.getValue<std::string>("kind") != "request")
                return;
            const auto read = runFrom(line);
            if (read.state == "running")
                own.push_back(read);
            else
                latest[{ read.path, read.startUs }] = read;
        });
        for (auto& each : own)
            if (const auto ended = latest.find({ each.path, each.startUs }); ended != latest.end())
                each = ended->second;
        all.insert(all.end(), own.begin(), own.end());
    }
    return all;
}

std::vector<holding> cluster::holdings() const
{
    std::vector<holding> all;
    for (const auto& target : m_targets) {
        std::map<std::pair<std::uint64_t, std::uint64_t>, holding> latest;
        visitRecord(target, [&](const Object& line) {
            if (line.getValue<std::string>("kind") == "held")
                latest[{ line.getValue<std::uint64_t>("incarnation"),
                    line.getValue<std::uint64_t>("id") }]
                    = holdingFrom(line);
        });
        for (auto& [id, held] : latest) {
            endAtKill(held, target.killedUs);
            all.push_back(held);
        }
    }
    return all;
}

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

std::string breaches(const cluster& system, const std::vector<told>& answers,
    const std::set<std::string>& repeatablePosts)
{
    std::ostringstream found;
    checkHolders(system, found);
    std::map<std::string, unsigned> count;
    for (const auto& run : system.runs())
        ++count[run.method + " " + run.path];
    for (const auto& answer : answers) {
        const auto request = answer.method + " " + answer.path;
        const auto service = answer.path.substr(1, answer.path.find('/', 1) - 1);
        if (answer.notRun() && count[request] > 0)
            found << "told not run, but ran: " << request << "\n";
        if (answer.method == "POST" && count[request] > 1 && !repeatablePosts.contains(service))
            found << "ran " << count[request] << " times: " << request << "\n";
        if (answer.answered() && count[request] == 0)
            found << "answered, but never ran: " << request << "\n";
        if (answer.answered() && !ownAnswer(answer))
            found << "got another's answer: " << request << ": " << answer.reply.body << "\n";
    }
    return found.str();
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
