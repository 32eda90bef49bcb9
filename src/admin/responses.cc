#include "responses.h"

#include "pimentomast/edits.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>
#include <Poco/Timestamp.h>
#include <array>
#include <optional>
#include <sstream>

namespace pimentomast::admin {
namespace detail {
namespace {

using Poco::JSON::Object;

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr unsigned maxHistoryEntries = table::historyLength;

std::string text(const Object& object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

response errorResponse(unsigned status, const std::string& reason)
{
    Object object;
    object.set("reason", reason);
    return { status, text(object) };
}

response unavailableResponse(const error& cause)
{
    Object object;
    object.set("step", cause.step);
    object.set("peer", cause.peer);
    object.set("reason", cause.reason);
    return { 503, text(object) };
}

std::string now()
{
    return Poco::DateTimeFormatter::format(Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FORMAT);
}

bool isAuthorized(const request& request, const std::string& token)
{
    if (token.empty() || !request.authorization.starts_with(bearerPrefix))
        return false;
    return equalInConstantTime(request.authorization.substr(bearerPrefix.size()), token);
}

response getHealth(node& node, const request&)
{
    const auto health = node.currentHealth();
    Object object;
    object.set("accepting", health.accepting);
    object.set("reason", health.reason);
    return { health.accepting ? 200U : 503U, text(object) };
}

response getMetrics(node& node, const request&)
{
    return { 200, node.metrics().exposition(), "text/plain; version=0.0.4" };
}

response getStatus(node& node, const request&) { return { 200, node.statusJson() }; }

response getTable(node& node, const request&)
{
    const auto current = table::readCurrent(node.platform());
    if (!current)
        return unavailableResponse(current.error());
    return { 200, table::toJson(current.value().value_or(table::table {})) };
}

response getHistory(node& node, const request&)
{
    const auto entries = table::history(node.platform(), maxHistoryEntries);
    if (!entries)
        return unavailableResponse(entries.error());
    return { 200, table::toJson(entries.value()) };
}

struct status_code_visitor {
    unsigned operator()(const table::applied&) const { return 200; }
    unsigned operator()(const table::conflict&) const { return 409; }
    unsigned operator()(const table::invalid&) const { return 422; }
    unsigned operator()(const table::not_applied&) const { return 503; }
    unsigned operator()(const table::apply_unknown&) const { return 504; }
};

response toResponse(const table::apply_outcome& outcome)
{
    return { std::visit(status_code_visitor {}, outcome), table::toJson(outcome) };
}

Object::Ptr parseBody(const request& request)
{
    return Poco::JSON::Parser().parse(request.body).extract<Object::Ptr>();
}

response putTable(node& node, const request& request)
{
    const auto body = parseBody(request);
    const table::edit wanted {
        body->getValue<std::string>("editor"),
        config_version { body->getValue<Poco::UInt64>("base") },
        body->getValue<std::string>("csv"),
        now(),
    };
    return toResponse(table::apply(node.platform(), wanted));
}

std::optional<table::row_kind> parseMarkKind(const std::string& name)
{
    if (name == "target")
        return table::row_kind::Target;
    if (name == "host")
        return table::row_kind::Host;
    return std::nullopt;
}

std::optional<table::mark> parseMarkState(const std::string& name)
{
    if (name == "leaving")
        return table::mark::Leaving;
    if (name == "active")
        return table::mark::Active;
    return std::nullopt;
}

response postMark(node& node, const request& request)
{
    const auto body = parseBody(request);
    const auto kind = parseMarkKind(body->getValue<std::string>("kind"));
    const auto state = parseMarkState(body->getValue<std::string>("state"));
    if (!kind || !state)
        return errorResponse(400, "kind must be target or host, and state leaving or active");
    const table::mark_edit wanted {
        body->getValue<std::string>("editor"),
        { *kind, body->getValue<std::string>("id") },
        *state,
        now(),
    };
    return toResponse(table::apply(node.platform(), wanted));
}

response getCrashes(node& node, const request&) { return { 200, node.crashesJson() }; }

response postPardon(node& node, const request& request)
{
    const auto body = parseBody(request);
    Poco::UInt64 fingerprint = 0;
    const auto digits = body->getValue<std::string>("fingerprint");
    if (!Poco::NumberParser::tryParseHex64(digits, fingerprint))
        return errorResponse(400, "fingerprint must be a hexadecimal number");
    if (!node.pardon(fingerprint))
        return errorResponse(404, "no request with this fingerprint is suspected or refused");
    return { 200, "{}" };
}

struct route {
    std::string_view method;
    std::string_view path;
    response (*handle)(node&, const request&);
};

constexpr std::array routes {
    route { "GET", "/health", &getHealth },
    route { "GET", "/metrics", &getMetrics },
    route { "GET", "/status", &getStatus },
    route { "GET", "/table", &getTable },
    route { "GET", "/history", &getHistory },
    route { "PUT", "/table", &putTable },
    route { "POST", "/marks", &postMark },
    route { "GET", "/crashes", &getCrashes },
    route { "POST", "/pardons", &postPardon },
};

response dispatch(node& node, const request& request)
{
    bool pathFound = false;
    for (const auto& each : routes) {
        if (each.path != request.path)
            continue;
        if (each.method == request.method)
            return each.handle(node, request);
        pathFound = true;
    }
    return pathFound ? errorResponse(405, "method not allowed here")
                     : errorResponse(404, "no such path");
}

} // namespace

response respond(node& node, const std::string& token, const request& request)
{
    if (request.path != "/health" && !isAuthorized(request, token))
        return errorResponse(401, "a bearer token is needed");
    try {
        return dispatch(node, request);
    } catch (const Poco::Exception&) {
        return errorResponse(400, "the body is not the JSON object that this path takes");
    } catch (const failure& caught) {
        return unavailableResponse(caught.cause());
    }
}

} // namespace detail

std::vector<route_description> describeRoutes()
{
    std::vector<route_description> all;
    all.reserve(detail::routes.size());
    for (const auto& each : detail::routes)
        all.push_back({ std::string(each.method), std::string(each.path) });
    return all;
}

bool equalInConstantTime(const std::string& given, const std::string& expected)
{
    if (expected.empty())
        return false;
    unsigned difference = given.size() == expected.size() ? 0 : 1;
    for (std::size_t index = 0; index < given.size(); ++index) {
        const auto wanted = static_cast<unsigned char>(expected[index % expected.size()]);
        difference |= static_cast<unsigned char>(given[index]) ^ wanted;
    }
    return difference == 0;
}

} // namespace pimentomast::admin
