#include "grant_client.h"

#include "grant_codec.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace pimentomast::serve::detail {
namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t idleSessionsPerTarget = 2;
constexpr const char* grantPath = "/pimentomast/grants";

} // namespace

ownership::event grant_client::send(const ownership::send_grant& action)
{
    const ownership::target_failed failed { action.request, action.target };
    try {
        const auto received = exchange(action.address, format(action.message));
        const auto reply = parseGrantReply(received.body);
        if (!reply)
            return failed;
        if (received.status == HTTPResponse::HTTP_OK)
            return ownership::target_acknowledged { action.request, action.target, reply.value() };
        if (received.status == HTTPResponse::HTTP_CONFLICT)
            return ownership::target_refused { action.request, action.target, reply.value() };
        return failed;
    } catch (const Poco::Exception&) {
        return failed;
    }
}

grant_client::answer grant_client::exchange(const endpoint& address, const std::string& body)
{
    auto connection = acquireSession(address);
    HTTPRequest request(HTTPRequest::HTTP_POST, grantPath, HTTPRequest::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    request.setKeepAlive(true);
    connection->sendRequest(request) << body;
    HTTPResponse response;
    answer received;
    Poco::StreamCopier::copyToString(connection->receiveResponse(response), received.body);
    received.status = response.getStatus();
    if (response.getKeepAlive())
        releaseSession(address, std::move(connection));
    return received;
}

grant_client::session grant_client::acquireSession(const endpoint& address)
{
    {
        const std::lock_guard guard(m_lock);
        auto& idle = m_idle[address];
        if (!idle.empty()) {
            auto taken = std::move(idle.back());
            idle.pop_back();
            return taken;
        }
    }
    auto opened = std::make_unique<HTTPClientSession>(address.ip, address.port);
    const Poco::Timespan timeout(
        std::chrono::duration_cast<std::chrono::microseconds>(m_timeout).count());
    opened->setTimeout(timeout, timeout, timeout);
    opened->setKeepAlive(true);
    return opened;
}

void grant_client::releaseSession(const endpoint& address, session idle)
{
    const std::lock_guard guard(m_lock);
    auto& kept = m_idle[address];
    if (kept.size() < idleSessionsPerTarget)
        kept.push_back(std::move(idle));
}

} // namespace pimentomast::serve::detail
