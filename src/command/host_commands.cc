#include "subcommands.h"

#include "pimentomast/http.h"
#include "pimentomast/serve.h"
#include "platform.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>
#include <sstream>

/// Subcommands for a single entry host.
namespace pimentomast::command::detail {
namespace {

constexpr std::chrono::seconds adminTimeout { 5 };

/// A request to the administration API of the host that the settings describe.
struct admin_call {
    /// Name of the operation in error messages.
    std::string step;
    std::string method;
    std::string path;
    std::string body;
};

/// Returns the host's whole answer. Throws failure if there is none.
http::answer sendAdminRequest(const settings::settings& values, const admin_call& adminCall)
{
    const auto& address = values.host.admin;
    http::client connection({ address, adminTimeout });
    http::request request { adminCall.method, adminCall.path, "", adminCall.body };
    request.fields = { { "Authorization", "Bearer " + values.admin.token } };
    request.ownConnection = true;
    const auto fail = [&](const error& cause) -> http::answer {
        throw failure({ adminCall.step, address.text(), cause.reason });
    };
    const overloaded outcomes {
        [](const http::answer& whole) { return whole; },
        [&](const http::not_sent& unsent) { return fail(unsent.cause); },
        [&](const http::no_answer& lost) { return fail(lost.cause); },
    };
    return std::visit(outcomes, connection.sendOnce(request));
}

Poco::JSON::Object::Ptr parseObject(const std::string& body)
{
    return Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
}

/// Returns ": " and the reason from an error response, or an empty string if there is none.
std::string refusalReason(const http::answer& refusal)
{
    const auto reason = parseObject(refusal.body)->optValue<std::string>("reason", "");
    return reason.empty() ? "" : ": " + reason;
}

/// Returns the body of a response with status 200. Throws failure on any other status.
std::string fetchBody(const settings::settings& values, const admin_call& adminCall)
{
    const auto response = sendAdminRequest(values, adminCall);
    if (response.status == Poco::Net::HTTPResponse::HTTP_OK)
        return response.body;
    const auto status = "the host responded with status " + std::to_string(response.status);
    throw failure({ adminCall.step, values.host.admin.text(), status + refusalReason(response) });
}

void printSuspectedRequest(std::ostream& out, const Poco::JSON::Object& request)
{
    out << request.getValue<std::string>("fingerprint")
        << (request.getValue<bool>("refused") ? " refused" : " suspected");
    const auto crashes = request.getArray("crashes");
    for (const auto& each : *crashes) {
        const auto& crash = *each.extract<Poco::JSON::Object::Ptr>();
        out << " " << crash.getValue<std::string>("target") << "/"
            << crash.getValue<std::string>("incarnation") << " "
            << crash.getValue<std::string>("seconds_ago") << "s";
    }
    out << "\n";
}

result<std::unique_ptr<serve::environment>> makeEnvironment(const settings::store_settings& values)
{
    if (values.interface == settings::store_interface::Own)
        return serve::defaultEnvironment(values);
    platform::options options;
    options.store = values.address;
    options.storeTimeout = values.timeoutMs;
    options.maxTableAge = values.pollMs;
    options.terms = values.terms;
    return platform::connect(options);
}

/// Returns the JSON body of a pardon. Throws options::error if the text is not a hexadecimal
/// number.
std::string fingerprintBody(const std::string& digits)
{
    Poco::UInt64 unused = 0;
    if (!Poco::NumberParser::tryParseHex64(digits, unused))
        throw options::error("the fingerprint must be a hexadecimal number");
    Poco::JSON::Object body;
    body.set("fingerprint", digits);
    std::ostringstream text;
    body.stringify(text);
    return text.str();
}

} // namespace

exit_code serve(const invocation& call)
{
    const auto values = loadSettings(call);
    return static_cast<exit_code>(
        serve::run(values, [&] { return makeEnvironment(values.store); }));
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
    const auto body = fetchBody(loadSettings(call), { "read status", "GET", "/status", "" });
    if (call.json()) {
        call.out << body << "\n";
        return exit_code::Success;
    }
    parseObject(body)->stringify(call.out, 2);
    call.out << "\n";
    return exit_code::Success;
}

exit_code crashList(const invocation& call)
{
    const auto body = fetchBody(loadSettings(call), { "read crashes", "GET", "/crashes", "" });
    if (call.json()) {
        call.out << body << "\n";
        return exit_code::Success;
    }
    const auto requests = parseObject(body)->getArray("requests");
    for (const auto& each : *requests)
        printSuspectedRequest(call.out, *each.extract<Poco::JSON::Object::Ptr>());
    return exit_code::Success;
}

exit_code crashPardon(const invocation& call)
{
    const auto digits = call.text("fingerprint");
    (void)fetchBody(loadSettings(call), { "pardon", "POST", "/pardons", fingerprintBody(digits) });
    if (call.json())
        call.out << R"({"pardoned":")" << digits << "\"}\n";
    else
        call.out << "pardoned " << digits << "\n";
    return exit_code::Success;
}

} // namespace pimentomast::command::detail
