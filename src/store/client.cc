#include "pimentomast/http.h"
#include "pimentomast/store.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>
#include <sstream>

namespace pimentomast::store {

namespace {

using Poco::JSON::Object;
using Poco::Net::HTTPResponse;

const std::string jsonType = "application/json";
const std::string bytesType = "application/octet-stream";

std::string encode(const std::string& name)
{
    std::string encoded;
    Poco::URI::encode(name, "/?#%&=+ ", encoded);
    return encoded;
}

Object::Ptr parseObject(const std::string& body)
{
    return Poco::JSON::Parser().parse(body).extract<Object::Ptr>();
}

std::string toJson(const Object& object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

row rowFrom(const Object& object)
{
    return row { object.getValue<std::string>("key"), object.getValue<std::string>("value"),
        row_version { object.getValue<Poco::UInt64>("version") },
        write_id { object.getValue<std::string>("writer") } };
}

write_conflict conflictFrom(const Object& object)
{
    if (object.getValue<Poco::UInt64>("version") == 0)
        return {};
    return { rowFrom(object) };
}

endpoint endpointFrom(const std::string& address)
{
    const Poco::Net::SocketAddress parsed(address);
    return { parsed.host().toString(), parsed.port() };
}

listed_host hostFrom(const Object& object)
{
    const auto state = object.getValue<std::string>("state");
    return { host_id { object.getValue<std::string>("id") },
        domain_id { object.getValue<std::string>("domain") },
        endpointFrom(object.getValue<std::string>("peers")),
        state == "leaving" ? host_state::Leaving : host_state::Live,
        object.optValue<unsigned>("millicores", 0) };
}

std::vector<listed_host> hostsFrom(const std::string& body)
{
    std::vector<listed_host> hosts;
    const auto list = parseObject(body)->getArray("hosts");
    if (!list)
        throw Poco::DataException("no list of hosts");
    for (std::size_t i = 0; i < list->size(); ++i)
        hosts.push_back(hostFrom(*list->getObject(static_cast<unsigned>(i))));
    return hosts;
}

class http_services final : public services {
public:
    explicit http_services(const client_options& options)
        : m_client({ options.address, options.timeout })
    {
    }

    result<std::optional<row>> read(const std::string& key) override
    {
        const std::string step = "read row " + key;
        auto answer = get("/rows/" + encode(key), step);
        if (!answer)
            return answer.error();
        if (answer.value().status == HTTPResponse::HTTP_NOT_FOUND)
            return std::optional<row>();
        return parsed(
            step, [&] { return std::optional(rowFrom(*parseObject(answer.value().body))); });
    }

    write_outcome write(const std::string& key, row_version expected, const std::string& value,
        const write_id& id) override
    {
        Object body;
        body.set("expected", Poco::UInt64 { expected.value() });
        body.set("value", value);
        body.set("writer", id.value());
        const auto outcome
            = m_client.sendOnce({ "PUT", "/rows/" + encode(key), jsonType, toJson(body) });
        if (const auto* unsent = std::get_if<http::not_sent>(&outcome))
            return write_refused { unsent->cause };
        if (const auto* lost = std::get_if<http::no_answer>(&outcome))
            return write_unknown { lost->cause };
        return writeOutcome("write row " + key, std::get<http::answer>(outcome));
    }

    result<void> putObject(const std::string& name, const std::string& bytes) override
    {
        const std::string step = "put object " + name;
        const auto outcome
            = m_client.sendIdempotent({ "PUT", "/objects/" + encode(name), bytesType, bytes });
        auto answer = answered(outcome, step);
        if (!answer)
            return answer.error();
        const auto status = answer.value().status;
        if (status == HTTPResponse::HTTP_OK || status == HTTPResponse::HTTP_CREATED)
            return boost::outcome_v2::success();
        return unexpected(step, status);
    }

    result<std::optional<std::string>> getObject(const std::string& name) override
    {
        auto answer = get("/objects/" + encode(name), "get object " + name);
        if (!answer)
            return answer.error();
        if (answer.value().status == HTTPResponse::HTTP_NOT_FOUND)
            return std::optional<std::string>();
        return std::optional(std::move(answer.value().body));
    }

    result<std::vector<listed_host>> hosts() override
    {
        const std::string step = "list hosts";
        auto answer = get("/hosts", step);
        if (!answer)
            return answer.error();
        return parsed(step, [&] { return hostsFrom(answer.value().body); });
    }

private:
    [[nodiscard]] error unexpected(const std::string& step, HTTPResponse::HTTPStatus status) const
    {
        return { step, m_client.peer(), "status " + std::to_string(status) };
    }

    static result<http::answer> answered(const http::outcome& outcome, const std::string& step)
    {
        if (const auto* unsent = std::get_if<http::not_sent>(&outcome))
            return error { step, unsent->cause.peer, unsent->cause.reason };
        if (const auto* lost = std::get_if<http::no_answer>(&outcome))
            return error { step, lost->cause.peer, lost->cause.reason };
        return std::get<http::answer>(outcome);
    }

    /// Returns the answer to a GET if its status is 200 or 404.
    result<http::answer> get(const std::string& path, const std::string& step)
    {
        auto answer = answered(m_client.sendIdempotent({ "GET", path, "", "" }), step);
        if (!answer)
            return answer;
        const auto status = answer.value().status;
        if (status == HTTPResponse::HTTP_OK || status == HTTPResponse::HTTP_NOT_FOUND)
            return answer;
        return unexpected(step, status);
    }

    template <class Parse>
    auto parsed(const std::string& step, Parse parse) -> result<decltype(parse())>
    {
        try {
            return parse();
        } catch (const Poco::Exception& cause) {
            return error { step, m_client.peer(), "malformed answer: " + cause.displayText() };
        }
    }

    [[nodiscard]] write_outcome writeOutcome(
        const std::string& step, const http::answer& answer) const
    {
        try {
            if (answer.status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE)
                return write_refused { unexpected(step, answer.status) };
            if (answer.status == HTTPResponse::HTTP_CONFLICT)
                return conflictFrom(*parseObject(answer.body));
            if (answer.status != HTTPResponse::HTTP_OK)
                return write_unknown { unexpected(step, answer.status) };
            const auto version = parseObject(answer.body)->getValue<Poco::UInt64>("version");
            return write_accepted { row_version { version } };
        } catch (const Poco::Exception& cause) {
            return write_unknown { { step, m_client.peer(), cause.displayText() } };
        }
    }

    http::client m_client;
};

} // namespace

result<std::unique_ptr<services>> connect(const client_options& options)
{
    if (options.timeout.count() <= 0)
        return error { "connect to platform", options.address.text(), "timeout must be positive" };
    if (options.address.ip.empty() || options.address.port == 0)
        return error { "connect to platform", options.address.text(), "address is incomplete" };
    return std::unique_ptr<services>(std::make_unique<http_services>(options));
}

} // namespace pimentomast::store
