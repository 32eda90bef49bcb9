#include "answers.h"

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

constexpr std::string_view bearer = "Bearer ";
constexpr unsigned historyEntries = table::historyLength;

std::string text(const Object& object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

answer refuse(unsigned status, const std::string& reason)
{
    Object object;
    object.set("reason", reason);
    return { status, text(object) };
}

answer unavailable(const error& cause)
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

bool authorized(const request& request, const std::string& token)
{
    if (token.empty() || !request.authorization.starts_with(bearer))
        return false;
    return equalInConstantTime(request.authorization.substr(bearer.size()), token);
}

answer getHealth(node& node, const request&)
{
    const auto health = node.currentHealth();
    Object object;
    object.set("accepting", health.accepting);
    object.set("reason", health.reason);
    return { health.accepting ? 200U : 503U, text(object) };
}

answer getMetrics(node& node, const request&)
{
    return { 200, node.metrics().exposition(), "text/plain; version=0.0.4" };
}

answer getStatus(node& node, const request&) { return { 200, node.statusJson() }; }

answer getTable(node& node, const request&)
{
    const auto current = table::readCurrent(node.platform());
    if (!current)
        return unavailable(current.error());
    return { 200, table::toJson(current.value().value_or(table::table {})) };
}

answer getHistory(node& node, const request&)
{
    const auto entries = table::history(node.platform(), historyEntries);
    if (!entries)
        return unavailable(entries.error());
    return { 200, table::toJson(entries.value()) };
}

struct status_of {
    unsigned operator()(const table::applied&) const { return 200; }
    unsigned operator()(const table::conflict&) const { return 409; }
    unsigned operator()(const table::invalid&) const { return 422; }
    unsigned operator()(const table::not_applied&) const { return 503; }
    unsigned operator()(const table::apply_unknown&) const { return 504; }
};

answer show(const table::apply_outcome& outcome)
{
    return { std::visit(status_of {}, outcome), table::toJson(outcome) };
}

Object::Ptr parseBody(const request& request)
{
    return Poco::JSON::Parser().parse(request.body).extract<Object::Ptr>();
}

answer putTable(node& node, const request& request)
{
    const auto body = parseBody(request);
    const table::edit wanted {
        body->getValue<std::string>("editor"),
        config_version { body->getValue<Poco::UInt64>("base") },
        body->getValue<std::string>("csv"),
        now(),
    };
    return show(table::apply(node.platform(), wanted));
}

std::optional<table::row_kind> markedKind(const std::string& name)
{
    if (name == "target")
        return table::row_kind::Target;
    if (name == "host")
        return table::row_kind::Host;
    return std::nullopt;
}

std::optional<table::mark> markState(const std::string& name)
{
    if (name == "leaving")
        return table::mark::Leaving;
    if (name == "active")
        return table::mark::Active;
    return std::nullopt;
}

answer postMark(node& node, const request& request)
{
    const auto body = parseBody(request);
    const auto kind = markedKind(body->getValue<std::string>("kind"));
    const auto state = markState(body->getValue<std::string>("state"));
    if (!kind || !state)
        return refuse(400, "kind must be target or host, and state leaving or active");
    const table::mark_edit wanted {
        body->getValue<std::string>("editor"),
        { *kind, body->getValue<std::string>("id") },
        *state,
        now(),
    };
    return show(table::apply(node.platform(), wanted));
}

answer getCrashes(node& node, const request&) { return { 200, node.crashesJson() }; }

answer postPardon(node& node, const request& request)
{
    const auto body = parseBody(request);
    Poco::UInt64 fingerprint = 0;
    const auto digits = body->getValue<std::string>("fingerprint");
    if (!Poco::NumberParser::tryParseHex64(digits, fingerprint))
        return refuse(400, "fingerprint must be a hexadecimal number");
    if (!node.pardon(fingerprint))
        return refuse(404, "no request with this fingerprint is suspected or refused");
    return { 200, "{}" };
}

struct route {
    std::string_view method;
    std::string_view path;
    answer (*handle)(node&, const request&);
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

answer dispatch(node& node, const request& request)
{
    bool pathKnown = false;
    for (const auto& each : routes) {
        if (each.path != request.path)
            continue;
        if (each.method == request.method)
            return each.handle(node, request);
        pathKnown = true;
    }
    return pathKnown ? refuse(405, "method not allowed here") : refuse(404, "no such path");
}

} // namespace

answer respond(node& node, const std::string& token, const request& request)
{
    if (request.path != "/health" && !authorized(request, token))
        return refuse(401, "a bearer token is needed");
    try {
        return dispatch(node, request);
    } catch (const Poco::Exception&) {
        return refuse(400, "the body is not the JSON object that this path takes");
    } catch (const failure& caught) {
        return unavailable(caught.cause());
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
