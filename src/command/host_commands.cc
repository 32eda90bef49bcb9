#include "subcommands.h"

#include "pimentomast/serve.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

/// Subcommands about one entry host.
namespace pimentomast::command::detail {
namespace {

namespace net = Poco::Net;

constexpr long statusTimeoutSeconds = 5;

std::string askStatus(const settings::settings& values)
{
    const auto& address = values.host.admin;
    try {
        net::HTTPClientSession session(address.ip, address.port);
        session.setTimeout(Poco::Timespan(statusTimeoutSeconds, 0));
        net::HTTPRequest request("GET", "/status", net::HTTPMessage::HTTP_1_1);
        request.set("Authorization", "Bearer " + values.admin.token);
        session.sendRequest(request);
        net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        if (response.getStatus() == net::HTTPResponse::HTTP_OK)
            return body;
        throw failure({ "read status", address.text(),
            "the host answered " + std::to_string(response.getStatus()) });
    } catch (const Poco::Exception& caught) {
        throw failure({ "read status", address.text(), caught.displayText() });
    }
}

} // namespace

exit_code serve(const invocation& call)
{
    return static_cast<exit_code>(serve::run(loadSettings(call)));
}

exit_code checkSettings(const invocation& call)
{
    const auto values = loadSettings(call);
    if (!call.json()) {
        call.out << settings::describe(values);
        return exit_code::Success;
    }
    Poco::JSON::Object all(Poco::JSON_PRESERVE_KEY_ORDER);
    for (const auto& shown : settings::show(values))
        all.set(shown.name(), shown.value);
    all.stringify(call.out);
    call.out << "\n";
    return exit_code::Success;
}

exit_code status(const invocation& call)
{
    const auto body = askStatus(loadSettings(call));
    if (call.json()) {
        call.out << body << "\n";
        return exit_code::Success;
    }
    const auto parsed = Poco::JSON::Parser().parse(body);
    parsed.extract<Poco::JSON::Object::Ptr>()->stringify(call.out, 2);
    call.out << "\n";
    return exit_code::Success;
}

} // namespace pimentomast::command::detail
