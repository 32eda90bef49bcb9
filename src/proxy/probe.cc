#include "probe.h"

#include "pimentomast/http.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace pimentomast::proxy::detail {
namespace {

/// Targets report their health in a few fields.
constexpr std::size_t maxAnswerBytes = 65536;

routing::load_report readLoad(const std::string& body)
{
    const auto root = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
    routing::load_report report;
    report.run = incarnation { root->optValue<Poco::UInt64>("incarnation", 0) };
    if (const auto load = root->getObject("load")) {
        report.running = load->optValue("running", 0U);
        report.queued = load->optValue("queued", 0U);
        report.slots = load->optValue("slots", 0U);
    }
    return report;
}

routing::load_report readHealth(
    const probe_address& at, const http::answer& answer, const contract& fields)
{
    if (at.run == incarnation {})
        return readLoad(answer.body);
    routing::load_report report;
    if (!fields.load.empty())
        report = fields.decodeLoad(answer.header(fields.load)).value_or(report);
    report.run = at.run;
    return report;
}

void readWarmup(probe_report& report, const http::answer& answer, const contract& fields)
{
    const auto text = fields.warmup.empty() ? std::string() : answer.header(fields.warmup);
    if (text.empty())
        return;
    const auto coldFor = fields.decodeWarmup(text);
    report.coldFor = coldFor.value_or(duration {});
    report.isWarmupMalformed = !coldFor;
}

} // namespace

probe_report probeHealth(const target_id& target, const probe_address& at,
    std::chrono::milliseconds timeout, const contract& fields)
{
    const instant started = monotonic_clock::now();
    probe_report report;
    report.target = target;
    http::client connection({ at.address, timeout, maxAnswerBytes });
    const auto outcome
        = connection.sendOnce({ "GET", at.path, "", "", {}, {}, { { "Connection", "close" } } });
    if (const auto* notSent = std::get_if<http::not_sent>(&outcome))
        report.refused = notSent->refused;
    const auto* answer = std::get_if<http::answer>(&outcome);
    if (answer != nullptr && answer->status == Poco::Net::HTTPResponse::HTTP_OK) {
        try {
            report.load = readHealth(at, *answer, fields);
            readWarmup(report, *answer, fields);
        } catch (const Poco::Exception&) {
            report.load.reset();
        }
    }
    report.latency = monotonic_clock::now() - started;
    return report;
}

} // namespace pimentomast::proxy::detail
