#include "../helper.h"

#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <istream>
#include <sstream>

/// Checks the records of the targets against the results that callers got.
namespace pimentomast::test {

namespace {

using Poco::JSON::Object;

request_run parseRun(const Object& line)
{
    return { line.getValue<std::string>("target"), line.getValue<std::string>("method"),
        line.getValue<std::string>("path"), line.getValue<std::string>("state"),
        line.getValue<std::int64_t>("start_us"), line.getValue<std::int64_t>("end_us") };
}

std::uint64_t hash(const Object& line, const std::string& field)
{
    return std::stoull(line.getValue<std::string>(field), nullptr, 16);
}

ownership_interval parseInterval(const Object& line)
{
    return { line.getValue<std::string>("target"), hash(line, "first"), hash(line, "last"),
        line.getValue<std::int64_t>("from_us"), line.getValue<std::int64_t>("to_us"),
        line.getValue<std::uint64_t>("epoch"), line.getValue<std::uint64_t>("sequence") };
}

void truncateAtKills(ownership_interval& held, const std::vector<std::int64_t>& killedUs)
{
    for (const auto kill : killedUs)
        if (held.fromUs < kill)
            held.toUs = std::min(held.toUs, kill);
}

/// Reads one record, in which a later line replaces an earlier one for the same run or interval.
class record_reader {
public:
    void add(const Object& line)
    {
        if (line.getValue<std::string>("kind") == "held")
            m_held[{
                line.getValue<std::uint64_t>("incarnation"), line.getValue<std::uint64_t>("id") }]
                = parseInterval(line);
        else
            addRun(parseRun(line));
    }

    void finish(const std::vector<std::int64_t>& killedUs, target_records& records)
    {
        for (auto& each : m_runs)
            if (const auto ended = m_endedRuns.find({ each.path, each.startUs });
                ended != m_endedRuns.end())
                each = ended->second;
        records.runs.insert(records.runs.end(), m_runs.begin(), m_runs.end());
        for (auto& [id, held] : m_held) {
            truncateAtKills(held, killedUs);
            records.ownedIntervals.push_back(held);
        }
    }

private:
    void addRun(const request_run& read)
    {
        if (read.state == "running")
            m_runs.push_back(read);
        else
            m_endedRuns[{ read.path, read.startUs }] = read;
    }

    std::vector<request_run> m_runs;
    std::map<std::pair<std::string, std::int64_t>, request_run> m_endedRuns;
    std::map<std::pair<std::uint64_t, std::uint64_t>, ownership_interval> m_held;
};

bool overlap(const ownership_interval& one, const ownership_interval& other)
{
    return one.first <= other.last && other.first <= one.last && one.fromUs < other.toUs
        && other.fromUs < one.toUs;
}

std::string text(const ownership_interval& held)
{
    std::ostringstream out;
    out << held.target << " " << std::hex << held.first << "-" << held.last << std::dec << " from "
        << held.fromUs << " to " << held.toUs << " with token " << held.epoch << "."
        << held.sequence;
    return out.str();
}

std::string serviceOf(const std::string& path) { return path.substr(1, path.find('/', 1) - 1); }

bool isTruncated(const request_result& answer)
{
    const auto declaredLength = answer.reply.field("Content-Length");
    const auto size = std::to_string(answer.reply.body.size());
    return (!declaredLength.empty() && declaredLength != size)
        || jsonField(answer.reply.body, "path").empty();
}

bool matchesRequest(const request_result& answer)
{
    return jsonField(answer.reply.body, "path") == answer.path
        && jsonField(answer.reply.body, "method") == answer.method;
}

/// Collects the violations of one installation.
class violation_finder {
public:
    explicit violation_finder(const target_records& records)
        : m_records(records)
    {
        for (const auto& each : records.runs)
            ++m_counts[each.method + " " + each.path];
    }

    void checkOwners()
    {
        const auto& all = m_records.ownedIntervals;
        for (std::size_t i = 0; i < all.size(); ++i)
            for (std::size_t j = i + 1; j < all.size(); ++j)
                if (areConflicting(all[i], all[j]))
                    m_violations.push_back("two owners: " + text(all[i]) + " and " + text(all[j]));
    }

    void checkRepeats(const std::set<std::string>& repeatablePosts)
    {
        for (const auto& [request, count] : m_counts) {
            const auto path = request.substr(request.find(' ') + 1);
            const bool once
                = request.starts_with("POST ") && !repeatablePosts.contains(serviceOf(path));
            if (once && count > 1)
                m_violations.push_back("ran " + std::to_string(count) + " times: " + request);
        }
    }

    void checkAnswer(const request_result& answer)
    {
        const auto request = answer.method + " " + answer.path;
        const bool ran = m_counts.contains(request);
        if (answer.notRun() && ran)
            m_violations.push_back("reported not run, but ran: " + request);
        if (!answer.answered())
            return;
        if (!ran)
            m_violations.push_back("answered, but never ran: " + request);
        if (answer.method == "HEAD")
            return;
        if (isTruncated(answer))
            m_violations.push_back(
                "reported complete, but truncated: " + request + ": " + answer.reply.body);
        else if (!matchesRequest(answer))
            m_violations.push_back(
                "answer belongs to another request: " + request + ": " + answer.reply.body);
    }

    [[nodiscard]] std::vector<std::string> take() { return std::move(m_violations); }

private:
    [[nodiscard]] bool areConflicting(
        const ownership_interval& one, const ownership_interval& other) const
    {
        return one.target != other.target && overlap(one, other)
            && m_records.services.at(one.target) == m_records.services.at(other.target);
    }

    const target_records& m_records;
    std::map<std::string, unsigned> m_counts;
    std::vector<std::string> m_violations;
};

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

void readRecord(
    std::istream& lines, const std::vector<std::int64_t>& killedUs, target_records& records)
{
    record_reader reader;
    for (std::string line; std::getline(lines, line);)
        if (line.ends_with("}"))
            reader.add(*Poco::JSON::Parser().parse(line).extract<Object::Ptr>());
    reader.finish(killedUs, records);
}

void truncateIntervals(target_records& records, std::int64_t limitUs)
{
    std::erase_if(records.ownedIntervals, [&](const auto& held) { return held.fromUs >= limitUs; });
    for (auto& held : records.ownedIntervals)
        held.toUs = std::min(held.toUs, limitUs);
}

std::vector<std::string> findViolations(const target_records& records,
    const std::vector<request_result>& answers, const std::set<std::string>& repeatablePosts)
{
    violation_finder finder(records);
    finder.checkOwners();
    finder.checkRepeats(repeatablePosts);
    for (const auto& answer : answers)
        finder.checkAnswer(answer);
    return finder.take();
}

std::vector<std::string> runsStartedAfter(
    const target_records& records, const std::string& target, std::int64_t limitUs)
{
    std::vector<std::string> found;
    for (const auto& each : records.runs)
        if (each.target == target && each.startUs > limitUs)
            found.push_back("request started at " + target + " "
                + std::to_string((each.startUs - limitUs) / 1000)
                + " ms after the limit: " + each.method + " " + each.path);
    return found;
}

} // namespace pimentomast::test
