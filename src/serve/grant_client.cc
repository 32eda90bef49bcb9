#include "grant_client.h"

#include "grant_codec.h"

namespace pimentomast::serve::detail {
namespace {

using Poco::Net::HTTPResponse;

constexpr const char* grantPath = "/pimentomast/grants";
/// Targets answer grants with a few fields.
constexpr std::size_t maxAnswerBytes = 65536;

} // namespace

ownership::event grant_client::send(const ownership::send_grant& action)
{
    const ownership::target_failed failed { action.request, action.target };
    const auto outcome
        = clientFor(action.address)
              ->sendOnce({ "POST", grantPath, "application/json", format(action.message) });
    const auto* answer = std::get_if<http::answer>(&outcome);
    if (answer == nullptr)
        return failed;
    const auto reply = parseGrantReply(answer->body);
    if (!reply)
        return failed;
    if (answer->status == HTTPResponse::HTTP_OK)
        return ownership::target_acknowledged { action.request, action.target, reply.value() };
    if (answer->status == HTTPResponse::HTTP_CONFLICT)
        return ownership::target_refused { action.request, action.target, reply.value() };
    return failed;
}

std::shared_ptr<http::client> grant_client::clientFor(const endpoint& address)
{
    const std::lock_guard guard(m_lock);
    auto& known = m_clients[address];
    if (!known)
        known = std::make_shared<http::client>(
            http::client_options { address, m_timeout, maxAnswerBytes });
    return known;
}

} // namespace pimentomast::serve::detail
