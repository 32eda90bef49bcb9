#include "spread.h"

#include "pimentomast/edits.h"
#include "pimentomast/telemetry.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace pimentomast::serve::detail {
namespace {

constexpr std::chrono::milliseconds peerTimeoutMs { 800 };
constexpr unsigned poolThreads = 2;
/// Hosts are ranked for the looks at the store as they are for a service of this name.
constexpr auto tableReader = "tables";
/// Until a starting host has heard of every other one it exchanges more often: a coordinator names
/// as witnesses only hosts that it heard of, and cannot go on without the store before that.
constexpr std::chrono::milliseconds startIntervalMs { 100 };
constexpr std::chrono::seconds startTimeS { 10 };
/// Between reads of the list of hosts once a host has started, where hosts list themselves.
constexpr std::chrono::milliseconds listIntervalMs { 5000 };

void logBadTable(config_version version, const error& cause)
{
    telemetry::log(telemetry::severity::Error, "table-refused",
        { { "version", std::to_string(version.value()) }, { "reason", cause.text() } });
}

template <class Message>
void addHeard(const std::vector<membership::heard_host>& heard, Message& to)
{
    for (const auto& each : heard) {
        auto* message = to.add_heard();
        message->set_host(each.id.value());
        message->set_incarnation(each.run.value());
        message->set_age_ms(static_cast<std::uint32_t>(each.ageMs.count()));
    }
}

template <class Message>
std::vector<membership::heard_host> heardIn(const Message& from)
{
    std::vector<membership::heard_host> heard;
    for (const auto& each : from.heard())
        heard.push_back({ host_id { each.host() }, incarnation { each.incarnation() },
            std::chrono::milliseconds(each.age_ms()) });
    return heard;
}

/// Clears the flag when the work that it marks as running has ended.
class running_guard {
public:
    explicit running_guard(std::atomic<bool>& flag)
        : m_flag(flag)
    {
    }
    running_guard(const running_guard&) = delete;
    running_guard& operator=(const running_guard&) = delete;
    ~running_guard() { m_flag = false; }

private:
    std::atomic<bool>& m_flag;
};

} // namespace

result<std::unique_ptr<spread>> spread::create(const spread_options& options,
    store::services& store, peer_book& book, const directory& routes, handlers calls)
{
    auto fresh = membership::freshness::create(options.freshness);
    if (!fresh)
        return fresh.error();
    return std::unique_ptr<spread>(
        new spread(options, std::move(fresh).value(), store, book, routes, std::move(calls)));
}

spread::spread(const spread_options& options, membership::freshness fresh, store::services& store,
    peer_book& book, const directory& routes, handlers calls)
    : m_options(options)
    , m_store(store)
    , m_book(book)
    , m_routes(routes)
    , m_calls(std::move(calls))
    , m_fresh(std::move(fresh))
    , m_started(monotonic_clock::now())
    , m_pool(poolThreads)
{
}

spread::~spread()
{
    m_pool.stop();
    m_pool.join();
}

bool spread::due(instant& next, instant now, duration interval) const
{
    if (now < next)
        return false;
    next = now + interval;
    return true;
}

void spread::tick(instant now)
{
    const auto hosts = m_book.connectionSharers(now);
    const bool readConfigNow = !m_options.tables
        && due(m_nextConfig, now, m_fresh.pollInterval(hosts)) && !m_readingConfig.exchange(true);
    if (readConfigNow)
        boost::asio::post(m_pool, [this] { readConfig(); });
    const bool readHostsNow
        = due(m_nextHosts, now, hostsInterval(now)) && !m_readingHosts.exchange(true);
    if (readHostsNow)
        boost::asio::post(m_pool, [this] { readHosts(); });
    if (!due(m_nextExchange, now, exchangeInterval(now)))
        return;
    lookForOthers(now);
    for (const auto& peer : peersToCall(now))
        exchangeWith(peer);
}

void spread::lookForOthers(instant now)
{
    if (!m_options.tables)
        return;
    std::vector<host_id> live;
    for (const auto& each : m_book.live(now))
        live.push_back(each.id);
    m_leader
        = ownership::preferredCoordinator(service_id { tableReader }, live).value_or(host_id {});
    m_leads = m_leader == m_options.self;
    m_options.tables->lead(m_leads);
}

// The one that looks for the others is called in each round.
std::vector<peer_book::client_pointer> spread::peersToCall(instant now)
{
    auto peers = m_book.exchangePeers(now);
    const auto leader = m_options.tables ? m_book.find(m_leader) : nullptr;
    if (leader && std::find(peers.begin(), peers.end(), leader) == peers.end())
        peers.push_back(leader);
    return peers;
}

void spread::callAll()
{
    if (!m_leads)
        return;
    for (const auto& peer : m_book.all(monotonic_clock::now()))
        exchangeWith(peer);
}

duration spread::exchangeInterval(instant now) const
{
    const bool starting = now - m_started < startTimeS;
    const bool waits = starting && !m_book.complete(now);
    return waits ? startIntervalMs : m_options.exchangeIntervalMs;
}

// The list only adds to what hosts hear from each other.
duration spread::hostsInterval(instant now) const
{
    const bool starting = now - m_started < startTimeS && !m_book.complete(now);
    return starting || !m_options.tables ? m_options.hostsIntervalMs : listIntervalMs;
}

void spread::readConfig()
{
    const running_guard running(m_readingConfig);
    const auto sentAt = monotonic_clock::now();
    const auto row = m_store.read(std::string(table::configRow));
    if (!row || !row.value())
        return;
    const config_version version { row.value()->version.value() };
    takeTable(version, row.value()->value);
    const std::lock_guard guard(m_lock);
    m_fresh.recordStoreRead(sentAt, version);
}

void spread::readHosts()
{
    const running_guard running(m_readingHosts);
    const auto listed = m_store.hosts();
    if (listed)
        m_book.list(monotonic_clock::now(), listed.value());
}

void spread::takeTable(config_version version, const std::string& value)
{
    // Held until the table is in force, so that an older one is never put over a newer one.
    const std::lock_guard applying(m_applyLock);
    if (version <= this->version())
        return;
    auto decoded = table::decode(version, value);
    if (!decoded) {
        logBadTable(version, decoded.error());
        return;
    }
    {
        const std::lock_guard guard(m_lock);
        if (!m_fresh.offer(version))
            return;
        m_table.set_version(version.value());
        m_table.set_value(value);
    }
    m_calls.putTable(std::make_shared<const table::table>(std::move(decoded).value()));
}

void spread::takeAssignment(const wire::Assignment& message)
{
    const auto value = fromWire(message);
    if (!value)
        throw failure(value.error());
    m_calls.putAssignment(value.value(), host_id { message.coordinator() });
}

wire::Digest spread::digest(instant now) const
{
    wire::Digest digest;
    digest.set_host(m_options.self.value());
    digest.set_incarnation(m_options.run.value());
    digest.set_leaving(m_leaving);
    digest.set_ip(m_options.peers.ip);
    digest.set_port(m_options.peers.port);
    digest.set_table_version(version().value());
    m_routes.describe(digest);
    addHeard(m_book.heard(now), digest);
    for (const auto& news : m_calls.crashes())
        *digest.add_crashes() = toWire(news, now);
    if (m_options.tables)
        *digest.mutable_standing() = toWire(m_options.tables->standing(), now);
    return digest;
}

void spread::exchangeWith(const peer_book::client_pointer& peer)
{
    const auto sentAt = monotonic_clock::now();
    const auto address = peer->address();
    peer->exchange(digest(sentAt), peerTimeoutMs, [this, sentAt, address](auto reply) {
        if (!reply)
            return;
        const auto& update = reply.value();
        if (m_options.tables && update.has_standing())
            m_options.tables->heard(fromWire(update.standing(), sentAt));
        m_book.sight(monotonic_clock::now(),
            { host_id { update.host() }, incarnation { update.incarnation() }, address,
                update.leaving() });
        m_book.relay(monotonic_clock::now(), heardIn(update));
        boost::asio::post(m_pool, [this, sentAt, update] { takeUpdate(sentAt, update); });
    });
}

void spread::takeUpdate(instant sentAt, const wire::Update& update)
{
    if (update.has_table())
        takeTable(config_version { update.table().version() }, update.table().value());
    {
        const std::lock_guard guard(m_lock);
        m_fresh.recordPeerVersion(
            sentAt, host_id { update.host() }, config_version { update.table_version() });
    }
    const auto now = monotonic_clock::now();
    for (const auto& news : update.crashes())
        m_calls.heard(fromWire(news, now));
    try {
        for (const auto& message : update.assignments())
            takeAssignment(message);
    } catch (const failure& caught) {
        telemetry::log(telemetry::severity::Error, "assignment-refused",
            { { "peer", update.host() }, { "reason", caught.cause().text() } });
    }
}

// How long the message was under way is not known, so that it confirms nothing; a difference is
// looked into.
void spread::noteStanding(const wire::Digest& digest, instant now)
{
    if (!m_options.tables || !digest.has_standing())
        return;
    if (digest.standing().content() != m_options.tables->standing().content)
        m_options.tables->heard(fromWire(digest.standing(), now));
}

wire::Update spread::exchange(const wire::Digest& digest)
{
    const auto now = monotonic_clock::now();
    const endpoint peers { digest.ip(), static_cast<std::uint16_t>(digest.port()) };
    m_book.sight(now,
        { host_id { digest.host() }, incarnation { digest.incarnation() }, peers,
            digest.leaving() });
    m_book.relay(now, heardIn(digest));
    for (const auto& news : digest.crashes())
        m_calls.heard(fromWire(news, now));
    noteStanding(digest, now);
    wire::Update update;
    update.set_host(m_options.self.value());
    update.set_incarnation(m_options.run.value());
    update.set_leaving(m_leaving);
    for (const auto& news : m_calls.crashes())
        *update.add_crashes() = toWire(news, now);
    addHeard(m_book.heard(now), update);
    if (m_options.tables)
        *update.mutable_standing() = toWire(m_options.tables->standing(), now);
    m_routes.addNewer(digest, update);
    const std::lock_guard guard(m_lock);
    update.set_table_version(m_fresh.version().value());
    if (m_fresh.version().value() > digest.table_version())
        *update.mutable_table() = m_table;
    return update;
}

wire::NoticeReply spread::take(const wire::Notice& notice)
{
    if (notice.has_table())
        takeTable(config_version { notice.table().version() }, notice.table().value());
    for (const auto& message : notice.assignments())
        takeAssignment(message);
    wire::NoticeReply reply;
    reply.set_incarnation(m_options.run.value());
    reply.set_table_version(version().value());
    return reply;
}

void spread::publish(const ownership::assignment& value)
{
    wire::Notice notice;
    notice.set_host(m_options.self.value());
    *notice.add_assignments() = toWire(value, m_options.self);
    notifyAll(notice);
}

void spread::announce(config_version version, const std::string& value)
{
    if (version <= this->version())
        return;
    takeTable(version, value);
    wire::Notice notice;
    notice.set_host(m_options.self.value());
    notice.mutable_table()->set_version(version.value());
    notice.mutable_table()->set_value(value);
    notifyAll(notice);
}

void spread::tellCrash(const routing::crash& news)
{
    wire::Digest message = digest(monotonic_clock::now());
    *message.add_crashes() = toWire(news, monotonic_clock::now());
    for (const auto& peer : m_book.all(monotonic_clock::now()))
        peer->exchange(message, peerTimeoutMs, [](const auto&) {});
}

void spread::notifyAll(const wire::Notice& notice)
{
    for (const auto& peer : m_book.all(monotonic_clock::now()))
        peer->publish(notice, peerTimeoutMs, [](const auto&) {});
}

bool spread::confirmed(instant now) const
{
    const auto peers = m_book.connectionSharers(now) - 1;
    const std::lock_guard guard(m_lock);
    return m_fresh.confirmed(now, peers);
}

config_version spread::version() const
{
    const std::lock_guard guard(m_lock);
    return m_fresh.version();
}

} // namespace pimentomast::serve::detail
