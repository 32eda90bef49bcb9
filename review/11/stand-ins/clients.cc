#include "clients.h"

namespace review {
namespace {

constexpr milliseconds connectTimeout { 1000 };

std::string requestText(
    const sent_request& sent, const std::string& authority, milliseconds deadline)
{
    message request;
    request.startLine = sent.method + ' ' + sent.target + " HTTP/1.1";
    request.fields = { { "Host", authority }, { "X-Request-Id", sent.id },
        { "X-Request-Deadline", std::to_string(deadline.count()) } };
    if (!sent.key.empty())
        request.fields.emplace_back("X-Shard-Key", sent.key);
    request.body = sent.body;
    if (sent.method != "GET")
        return request.text();
    std::string head = request.startLine + "\r\n";
    for (const auto& [name, value] : request.fields)
        head.append(name).append(": ").append(value).append("\r\n");
    return head + "\r\n";
}

} // namespace

ending exchangeOn(const socket_handle& connection, message_reader& reader, const sent_request& sent,
    const std::string& authority, milliseconds deadline)
{
    ending how;
    const auto begun = steady::now();
    how.wasSent = sendAll(connection, requestText(sent, authority, deadline));
    message reply;
    const auto got = reader.read(connection, reply, begun + deadline);
    how.took = std::chrono::duration_cast<milliseconds>(steady::now() - begun);
    if (got == read_state::Closed)
        how.failure = "closed";
    else if (got == read_state::Broken)
        how.failure = "broken";
    else if (got == read_state::TimedOut)
        how.failure = "timeout";
    if (got != read_state::Whole)
        return how;
    how.status = reply.status();
    how.signature = reply.field("X-Response-Signature");
    how.answeredId = reply.field("X-Request-Id");
    how.body = reply.body;
    return how;
}

client_group::client_group(client_options options, record& seen)
    : m_options(std::move(options))
    , m_record(seen)
{
    for (unsigned i = 0; i < m_options.count; ++i)
        m_threads.emplace_back([this, i] { run(m_options.hostName + "-c" + std::to_string(i)); });
}

client_group::~client_group()
{
    m_stopped = true;
    for (auto& each : m_threads)
        each.join();
}

void client_group::run(const std::string& name)
{
    socket_handle connection;
    message_reader reader;
    bool wasKept = false;
    for (std::size_t number = 0; !m_stopped; ++number) {
        if (connection.isOpen() && hasPeerClosed(connection))
            connection.close();
        if (!connection.isOpen()) {
            connection = connectTo(m_options.host, connectTimeout);
            reader = {};
            wasKept = false;
        }
        auto sent = m_options.next();
        sent.id = name + '-' + std::to_string(number);
        m_record.addSent(sent);
        ending how;
        if (connection.isOpen())
            how = exchangeOn(connection, reader, sent, m_options.authority, m_options.deadline);
        else
            how.failure = "no connection";
        how.host = m_options.hostName;
        how.wasKept = wasKept;
        m_record.addEnding(sent.id, how);
        wasKept = true;
        if (!how.failure.empty())
            connection.close();
        std::this_thread::sleep_for(m_options.pause);
    }
}

} // namespace review
