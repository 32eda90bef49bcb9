#include "upstream.h"

#include <Poco/JSON/Parser.h>
#include <Poco/JSONString.h>
#include <algorithm>
#include <sys/socket.h>

namespace review {
namespace {

using Poco::JSON::Object;

constexpr milliseconds heartbeat { 870 };
constexpr int heartbeatsMissed = 3;
constexpr milliseconds pollStep { 20 };
constexpr milliseconds idleTime { 10000 };
constexpr milliseconds defaultDeadline { 10000 };

struct key_range {
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t fence = 0;
    milliseconds hold {};
};

key_range readRange(const std::string& body)
{
    const auto object = Poco::JSON::Parser().parse(body).extract<Object::Ptr>();
    key_range read;
    read.from = object->getValue<unsigned>("from");
    read.to = object->getValue<unsigned>("to");
    read.fence = object->getValue<Poco::UInt64>("fence");
    const auto hold = object->optValue<std::string>("hold_time", "0ms");
    read.hold = milliseconds(std::strtoll(hold.c_str(), nullptr, 10));
    return read;
}

message plain(int status, const std::string& phrase)
{
    message made;
    made.startLine = "HTTP/1.1 " + std::to_string(status) + ' ' + phrase;
    return made;
}

message notExecuted(int status, const std::string& phrase, const message& request)
{
    auto made = plain(status, phrase);
    made.fields.emplace_back("X-Not-Executed", "1");
    made.fields.emplace_back("X-Request-Id", request.field("X-Request-Id"));
    return made;
}

} // namespace

upstream_stand_in::upstream_stand_in(upstream_options options, store_stand_in& store, record& seen)
    : m_options(std::move(options))
    , m_store(store)
    , m_record(seen)
    , m_listener(listenOn({ "127.0.0.1", m_options.port }))
    , m_port(portOf(m_listener))
    , m_born(std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
                 .count())
{
    registerNow();
    m_acceptor = std::thread([this] { accept(); });
    m_heart = std::thread([this] { beat(); });
}

upstream_stand_in::~upstream_stand_in()
{
    leaveStore();
    m_stopped = true;
    m_slotFreed.notify_all();
    m_acceptor.join();
    m_heart.join();
    m_threads.join();
}

void upstream_stand_in::leaveStore()
{
    if (m_registered.exchange(false)) {
        m_store.remove({ "servers", "", m_options.id });
        m_record.note("left " + m_options.id);
    }
}

void upstream_stand_in::drain()
{
    m_draining = true;
    registerNow();
}

void upstream_stand_in::crash()
{
    m_registered = false;
    m_crashed = true;
    m_record.note("crashed " + m_options.id);
}

void upstream_stand_in::goDark()
{
    constexpr int fillers = 3;
    m_darkSince = steady::now();
    m_dark = true;
    m_record.note("dark " + m_options.id);
    // The acceptor may still take one.
    std::this_thread::sleep_for(2 * pollStep);
    ::listen(m_listener.get(), 0);
    for (int i = 0; i < fillers; ++i)
        m_queued.push_back(connectTo({ "127.0.0.1", m_port }, pollStep));
}

std::size_t upstream_stand_in::heldKeys() const
{
    const std::lock_guard guard(m_lock);
    const auto now = steady::now();
    return static_cast<std::size_t>(std::count_if(
        m_keys.begin(), m_keys.end(), [now](const auto& each) { return each.until > now; }));
}

bool upstream_stand_in::holds(unsigned key) const
{
    const std::lock_guard guard(m_lock);
    return m_keys.at(key).until > steady::now();
}

void upstream_stand_in::registerNow()
{
    if (!m_registered)
        return;
    const std::string state = m_draining ? "draining" : "ready";
    const auto entry = "{\"address\":\"127.0.0.1:" + std::to_string(m_port)
        + "\",\"born\":" + std::to_string(m_born) + ",\"info\":{\"service\":\"" + m_options.service
        + "\",\"version\":\"v1\",\"zone\":\"" + m_options.zone
        + "\",\"capacity\":" + std::to_string(m_options.capacity) + "},\"status\":{\"state\":\""
        + state + "\",\"seq\":" + std::to_string(++m_sequence) + ",\"warmup_time\":\"0ms\"}}";
    m_store.put({ "servers", "", m_options.id }, entry);
    if (m_sequence == 1)
        m_record.note("registered " + m_options.id);
}

void upstream_stand_in::beat()
{
    auto next = steady::now() + heartbeat;
    while (!m_stopped) {
        std::this_thread::sleep_for(pollStep);
        if (m_dark && steady::now() >= m_darkSince.load() + heartbeatsMissed * heartbeat)
            leaveStore();
        if (m_dark || steady::now() < next)
            continue;
        next += heartbeat;
        registerNow();
    }
}

void upstream_stand_in::accept()
{
    while (!m_stopped) {
        if (m_dark) {
            std::this_thread::sleep_for(pollStep);
            continue;
        }
        auto accepted = acceptFrom(m_listener, pollStep);
        if (m_crashed)
            m_listener.close();
        if (!accepted.isOpen())
            continue;
        m_threads.add(
            [this, connection = std::move(accepted)]() mutable { serve(std::move(connection)); });
    }
}

void upstream_stand_in::serve(socket_handle connection)
{
    message_reader reader;
    message request;
    auto idleUntil = steady::now() + idleTime;
    bool hasAnswered = false;
    while (!m_stopped && !m_crashed && steady::now() < idleUntil) {
        if (!reader.waitForMessage(connection, pollStep))
            continue;
        while (m_dark && !m_stopped)
            std::this_thread::sleep_for(pollStep);
        if (reader.read(connection, request, steady::now() + idleTime) != read_state::Whole)
            return;
        const auto made = answer(request, connection);
        while (m_dark && !m_stopped)
            std::this_thread::sleep_for(pollStep);
        if (m_crashed || m_stopped)
            break;
        if (made.startLine.empty())
            return;
        const bool isRun = !made.field("X-Response-Signature").empty();
        const auto extra
            = isRun && hasAnswered && m_options.extraBytes ? m_options.extraBytes(m_answers) : "";
        if (isRun)
            ++m_answers;
        hasAnswered = hasAnswered || isRun;
        if (!sendAll(connection, extra + made.text()))
            return;
        idleUntil = steady::now() + idleTime;
    }
    if (m_crashed)
        connection.reset();
}

message upstream_stand_in::answer(const message& request, const socket_handle& connection)
{
    const auto words = request.words();
    const std::string target = words.size() > 1 ? words[1] : "";
    const auto expected = request.field("X-Expect-Instance");
    if (!expected.empty() && expected != m_options.id) {
        auto made = plain(421, "Misdirected Request");
        made.fields.emplace_back("X-Instance-Id", m_options.id);
        return made;
    }
    if (target == "/grant")
        return grant(request.body);
    if (target == "/release")
        return release(request.body);
    if (target == "/healthz") {
        auto made = plain(m_draining ? 503 : 200, "Health");
        made.fields.emplace_back("X-Instance-Id", m_options.id);
        return made;
    }
    return runRequest(request, connection);
}

message upstream_stand_in::grant(const std::string& body)
{
    const auto wanted = readRange(body);
    const std::lock_guard guard(m_lock);
    const auto first = m_keys.begin() + static_cast<std::ptrdiff_t>(wanted.from);
    const auto last = m_keys.begin() + static_cast<std::ptrdiff_t>(wanted.to) + 1;
    if (std::any_of(first, last, [&](const auto& each) { return each.fence > wanted.fence; }))
        return plain(409, "Conflict");
    const auto until = steady::now() + wanted.hold;
    std::for_each(first, last, [&](auto& each) {
        each.fence = wanted.fence;
        each.until = until;
    });
    if (m_options.onGrant)
        m_options.onGrant(wanted.from, wanted.to, wanted.fence);
    return plain(200, "OK");
}

message upstream_stand_in::release(const std::string& body)
{
    const auto wanted = readRange(body);
    std::unique_lock guard(m_lock);
    const auto first = m_keys.begin() + static_cast<std::ptrdiff_t>(wanted.from);
    const auto last = m_keys.begin() + static_cast<std::ptrdiff_t>(wanted.to) + 1;
    std::for_each(first, last, [&](auto& each) { each.until = {}; });
    m_slotFreed.wait(guard, [&] {
        return m_stopped
            || std::all_of(first, last, [](const auto& each) { return each.running == 0; });
    });
    auto made = plain(200, "OK");
    made.fields.emplace_back("X-Handover", m_options.id + "-" + std::to_string(wanted.from));
    return made;
}

bool upstream_stand_in::takeSlot(steady::time_point deadline)
{
    std::unique_lock guard(m_lock);
    if (m_running >= m_options.capacity && m_waiting >= m_options.queue)
        return false;
    ++m_waiting;
    const bool isFree = m_slotFreed.wait_until(
        guard, deadline, [this] { return m_stopped || m_running < m_options.capacity; });
    --m_waiting;
    if (isFree)
        ++m_running;
    return isFree;
}

void upstream_stand_in::freeSlot()
{
    const std::lock_guard guard(m_lock);
    --m_running;
    m_slotFreed.notify_all();
}

message upstream_stand_in::runRequest(const message& request, const socket_handle& connection)
{
    const auto words = request.words();
    const auto id = request.field("X-Request-Id");
    const auto deadlineText = request.field("X-Request-Deadline");
    const auto allowed = deadlineText.empty()
        ? defaultDeadline
        : milliseconds(std::strtoll(deadlineText.c_str(), nullptr, 10));
    const auto deadline = steady::now() + allowed;
    if (id.empty())
        return notExecuted(400, "Bad Request", request);
    if (!takeSlot(deadline))
        return notExecuted(503, "Service Unavailable", request);
    std::size_t key = 0;
    if (m_options.isKeyed) {
        key = std::strtoul(request.field("X-Shard-Key").c_str(), nullptr, 10);
        std::unique_lock guard(m_lock);
        if (m_keys.at(key).until <= steady::now()) {
            guard.unlock();
            freeSlot();
            return notExecuted(421, "Misdirected Request", request);
        }
        ++m_keys.at(key).running;
    }
    if (m_options.beforeRun)
        m_options.beforeRun(request);
    const auto answerText = "answer of " + m_options.id + " to " + id;
    const auto signature = m_options.id + '.' + id;
    m_record.addRun({ id, m_options.id, words.empty() ? "" : words[0],
        words.size() < 2 ? "" : words[1], request.body, signature, answerText });
    const auto end = std::min(steady::now() + m_options.work, deadline);
    bool isDropped = false;
    while (steady::now() < end && !isDropped && !m_crashed) {
        std::this_thread::sleep_for(std::min<steady::duration>(pollStep, end - steady::now()));
        isDropped = hasPeerClosed(connection);
    }
    if (m_options.isKeyed) {
        const std::lock_guard guard(m_lock);
        --m_keys.at(key).running;
    }
    freeSlot();
    if (isDropped)
        return {};
    auto made = plain(200, "OK");
    made.fields.emplace_back("X-Request-Id", id);
    made.fields.emplace_back("X-Response-Signature", signature);
    made.body = answerText;
    return made;
}

} // namespace review
