#include "probe.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

namespace pimentomast::proxy::detail {
namespace {

routing::load_report readLoad(std::istream& body)
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

std::optional<routing::load_report> fetchLoad(
    const probe_address& at, std::chrono::milliseconds timeout)
{
    Poco::Net::HTTPClientSession session(at.address.ip, at.address.port);
    session.setTimeout(Poco::Timespan(duration(timeout).count()));
    session.setKeepAlive(false);
    Poco::Net::HTTPRequest request("GET", at.path, "HTTP/1.1");
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::istream& body = session.receiveResponse(response);
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
        return std::nullopt;
    if (at.run != incarnation {})
        return routing::load_report { at.run };
    return readLoad(body);
}

} // namespace

probe_report probeHealth(
    const target_id& target, const probe_address& at, std::chrono::milliseconds timeout)
{
    const instant started = monotonic_clock::now();
    probe_report report;
    report.target = target;
    try {
        report.load = fetchLoad(at, timeout);
    } catch (const Poco::Net::ConnectionRefusedException&) {
        report.refused = true;
    } catch (const Poco::Exception&) {
        report.refused = false;
    }
    report.latency = monotonic_clock::now() - started;
    return report;
}

} // namespace pimentomast::proxy::detail
