#include "gossip.h"

#include "pimentomast/edits.h"
#include "pimentomast/telemetry.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace pimentomast::serve::detail {
namespace {

constexpr unsigned poolThreads = 2;
/// Interval of exchanges until a starting host has heard of every other host. It is short because a
/// coordinator names only hosts that it has heard of as witnesses, and cannot survive a store
/// outage without them.
constexpr std::chrono::milliseconds startIntervalMs { 100 };
constexpr std::chrono::seconds startPhaseS { 10 };
/// Interval between reads of the list of hosts after the start phase, if hosts list themselves.
constexpr std::chrono::milliseconds selfListedHostsIntervalMs { 5000 };
/// Time of this interval for each host, which bounds the reads of all hosts together: the larger
/// interval of many hosts, since they learn of new ones from each other.
constexpr std::chrono::milliseconds listReadPerHostMs { 125 };
constexpr std::chrono::milliseconds startListReadPerHostMs { 10 };

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
        if (each.peers.port == 0)
            continue;
        *message->mutable_address() = toWire(each.peers);
        message->set_millicores(each.millicores);
    }
}

template <class Message>
std::vector<membership::heard_host> heardIn(const Message& from)
{
    std::vector<membership::heard_host> heard;
    for (const auto& each : from.heard())
        heard.push_back({ host_id { each.host() }, incarnation { each.incarnation() },
            std::chrono::milliseconds(each.age_ms()), fromWire(each.address()),
            each.millicores() });
    return heard;
}

/// Clears a flag that marks work as running when the work has ended.
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

result<std::unique_ptr<gossip>> gossip::create(const gossip_options& options,
    store::services& store, peer_registry& peerRegistry, const directory& routes,
    handlers callbacks)
{
    auto freshness = membership::freshness::create(options.freshness);
    if (!freshness)
        return freshness.error();
    return std::unique_ptr<gossip>(new gossip(
        options, std::move(freshness).value(), store, peerRegistry, routes, std::move(callbacks)));
}

gossip::gossip(const gossip_options& options, membership::freshness freshness,
    store::services& store, peer_registry& peerRegistry, const directory& routes,
    handlers callbacks)
    : m_options(options)
    , m_store(store)
    , m_peerRegistry(peerRegistry)
    , m_routes(routes)
    , m_callbacks(std::move(callbacks))
    , m_freshness(std::move(freshness))
    , m_started(monotonic_clock::now())
    , m_pool(poolThreads)
{
}

gossip::~gossip()
{
    m_pool.stop();
    m_pool.join();
}

bool gossip::due(instant& next, instant now, duration interval) const
{
    if (now < next)
        return false;
    next = now + interval;
    return true;
}

void gossip::tick(instant now)
{
    const auto hosts = m_peerRegistry.connectionSharers(now);
    const bool readConfigNow = !m_options.tableSource
        && due(m_nextConfig, now, m_freshness.pollInterval(hosts))
        && !m_readingConfig.exchange(true);
    if (readConfigNow)
        boost::asio::post(m_pool, [this] { readConfig(); });
    const bool readHostsNow
        = due(m_nextHosts, now, hostsInterval(now)) && !m_readingHosts.exchange(true);
    if (readHostsNow)
        boost::asio::post(m_pool, [this] { readHosts(); });
    sendNewCrashes(now);
    if (!due(m_nextExchange, now, exchangeInterval(now)))
        return;
    electStorePoller(now);
    const auto peers = peersToCall(now);
    auto message = digest(now);
    for (const auto& peer : peers) {
        message.set_versions_only(!isAskedForChanges(peer, peers));
        probeWith(peer, message, now);
    }
}

// All peers of a round would send the same rows and assignments. The poller sends its rows unasked,
// but that call may have been lost; another host has changes while the store turns the poller away.
bool gossip::isAskedForChanges(const peer_registry::client_pointer& peer,
    const std::vector<peer_registry::client_pointer>& round)
{
    return peer == round.front() || peer == m_peerRegistry.find(m_storePoller);
}

// The host that polls the store is called in each round.
std::vector<peer_registry::client_pointer> gossip::peersToCall(instant now)
{
    auto peers = m_peerRegistry.exchangePeers(now);
    const auto storePoller = m_options.tableSource ? m_peerRegistry.find(m_storePoller) : nullptr;
    if (storePoller && std::find(peers.begin(), peers.end(), storePoller) == peers.end())
        peers.push_back(storePoller);
    return peers;
}

duration gossip::exchangeInterval(instant now) const
{
    const bool starting = now - m_started < startPhaseS;
    const bool waits = starting && !m_peerRegistry.complete(now);
    return waits ? startIntervalMs : m_options.exchangeIntervalMs;
}

// The list only supplements what hosts learn from each other.
duration gossip::hostsInterval(instant now) const
{
    if (!m_options.tableSource)
        return m_options.hostsIntervalMs;
    const auto hosts = m_peerRegistry.connectionSharers(now);
    const bool starting = now - m_started < startPhaseS && !m_peerRegistry.complete(now);
    if (starting)
        return std::max(m_options.hostsIntervalMs, hosts * startListReadPerHostMs);
    return std::max(selfListedHostsIntervalMs, hosts * listReadPerHostMs);
}

void gossip::readConfig()
{
    const running_guard running(m_readingConfig);
    const auto sentAt = monotonic_clock::now();
    const auto row = m_store.read(std::string(table::configRow));
    if (!row || !row.value())
        return;
    const config_version version { row.value()->version.value() };
    applyTable(version, row.value()->value);
    const std::lock_guard guard(m_lock);
    m_freshness.recordStoreRead(sentAt, version);
}

void gossip::readHosts()
{
    const running_guard running(m_readingHosts);
    const auto listed = m_store.hosts();
    if (listed)
        m_peerRegistry.setListedHosts(monotonic_clock::now(), listed.value());
}

void gossip::applyTable(config_version version, const std::string& value)
{
    // Held until the table is in force, so that an older table never replaces a newer one.
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
        if (!m_freshness.offer(version))
            return;
        m_table.set_version(version.value());
        m_table.set_value(value);
    }
    m_callbacks.putTable(std::make_shared<const table::table>(std::move(decoded).value()));
}

wire::Digest gossip::digest(instant now)
{
    wire::Digest digest;
    digest.set_host(m_options.self.value());
    digest.set_incarnation(m_options.run.value());
    digest.set_leaving(m_leaving);
    digest.set_ip(m_options.advertised.ip);
    digest.set_port(m_options.advertised.port);
    digest.set_table_version(version().value());
    m_routes.describe(*digest.mutable_assignments());
    addHeard(m_peerRegistry.heardHosts(now), digest);
    {
        const std::uint64_t own = m_callbacks.crashesHash();
        const std::lock_guard guard(m_crashLock);
        digest.set_crashes_hash(m_crashes.settledHash(now, own));
    }
    if (m_options.tableSource)
        addStanding(m_options.tableSource->standing(), now, digest);
    return digest;
}

template <class Message>
void gossip::applyCrashes(const Message& message, instant now)
{
    if (message.crashes().empty())
        return;
    std::vector<routing::crash> records;
    for (const auto& crash : message.crashes())
        records.push_back(fromWire(crash, now));
    m_callbacks.applyCrashes(records);
}

void gossip::exchangeWith(const peer_registry::relay_route& to, const wire::Digest& message,
    instant sentAt, std::chrono::milliseconds timeout)
{
    const auto address = to.relay->address();
    std::shared_ptr<const wire::Digest> relayed;
    if (!to.others.empty())
        relayed = std::make_shared<const wire::Digest>(message);
    auto sent = message;
    addForward(to.others, sent);
    to.relay->exchange(sent, timeout, [=, this, others = to.others](auto reply) {
        if (!reply) {
            // The last owner of a client must not be one of its own handlers.
            if (!others.empty())
                boost::asio::post(
                    m_pool, [=, this] { exchangeWithEach(others, *relayed, sentAt, timeout); });
            return;
        }
        takeReply(address, sentAt, reply.value());
    });
}

void gossip::probeWith(
    const peer_registry::client_pointer& peer, const wire::Digest& message, instant sentAt)
{
    link::call_number call;
    {
        const std::lock_guard guard(m_linkLock);
        call = m_linkDelay.begin(sentAt, peer->address());
    }
    peer->exchange(
        message, gossipTimeoutMs, [this, call, sentAt, address = peer->address()](auto reply) {
            recordProbe(call, sentAt, reply);
            if (reply)
                takeReply(address, sentAt, reply.value());
        });
}

void gossip::recordProbe(link::call_number call, instant sentAt, const result<wire::Update>& reply)
{
    const auto now = monotonic_clock::now();
    const auto roundTrip = now - sentAt;
    const bool isTimeout = !reply && roundTrip >= gossipTimeoutMs;
    {
        const std::lock_guard guard(m_linkLock);
        if (reply)
            m_linkDelay.answered(now, call);
        else
            m_linkDelay.failed(call, isTimeout, now);
    }
    if (reply)
        m_callbacks.exchanged(roundTrip);
    else if (isTimeout)
        m_callbacks.exchanged({});
}

void gossip::takeReply(const endpoint& address, instant sentAt, const wire::Update& update)
{
    if (m_options.tableSource && update.has_standing())
        applyPeerTables(standingIn(update, sentAt), changesIn(update));
    m_peerRegistry.recordSighting(monotonic_clock::now(),
        { host_id { update.host() }, incarnation { update.incarnation() }, address,
            update.leaving() });
    m_peerRegistry.recordRelayed(monotonic_clock::now(), heardIn(update));
    boost::asio::post(m_pool, [this, sentAt, update] { applyUpdate(sentAt, update); });
}

duration gossip::linkDelay(instant now) const
{
    const std::lock_guard guard(m_linkLock);
    return m_linkDelay.current(now);
}

void gossip::exchangeWithEach(const std::vector<endpoint>& peers, const wire::Digest& message,
    instant sentAt, std::chrono::milliseconds timeout)
{
    for (const auto& peer : m_peerRegistry.clientsAt(peers))
        exchangeWith({ peer, {} }, message, sentAt, timeout);
}

// Passes on what is new, in a digest of this host's own.
void gossip::relay(const wire::Digest& received, instant now)
{
    if (received.forward_to().empty())
        return;
    auto message = digest(now);
    *message.mutable_crashes() = received.crashes();
    *message.mutable_rows() = received.rows();
    if (received.has_span())
        *message.mutable_span() = received.span();
    message.set_versions_only(true);
    exchangeWithEach(forwardIn(received), message, now, pushTimeoutMs);
}

void gossip::applyUpdate(instant sentAt, const wire::Update& update)
{
    if (update.has_table())
        applyTable(config_version { update.table().version() }, update.table().value());
    {
        const std::lock_guard guard(m_lock);
        m_freshness.recordPeerVersion(
            sentAt, host_id { update.host() }, config_version { update.table_version() });
    }
    const auto now = monotonic_clock::now();
    applyCrashes(update, now);
    try {
        for (const auto& message : update.assignments())
            applyAssignment(message);
    } catch (const failure& caught) {
        telemetry::log(telemetry::severity::Error, "assignment-refused",
            { { "peer", update.host() }, { "reason", caught.cause().text() } });
    }
}

wire::Update gossip::exchange(const wire::Digest& digest)
{
    const auto now = monotonic_clock::now();
    const endpoint peers { digest.ip(), static_cast<std::uint16_t>(digest.port()) };
    m_peerRegistry.recordSighting(now,
        { host_id { digest.host() }, incarnation { digest.incarnation() }, peers,
            digest.leaving() });
    m_peerRegistry.recordRelayed(now, heardIn(digest));
    applyCrashes(digest, now);
    receiveTables(digest, now);
    relay(digest, now);
    wire::Update update;
    update.set_host(m_options.self.value());
    update.set_incarnation(m_options.run.value());
    update.set_leaving(m_leaving);
    if (sendsAllCrashes(now, digest.crashes_hash())) {
        for (const auto& crash : m_callbacks.crashes())
            *update.add_crashes() = toWire(crash, now);
    }
    addHeard(m_peerRegistry.heardHosts(now), update);
    if (m_options.tableSource)
        addStanding(m_options.tableSource->standing(), now, update);
    addChangedRows(digest, now, update);
    if (!digest.versions_only())
        m_routes.addNewer(now, digest, update);
    const std::lock_guard guard(m_lock);
    update.set_table_version(m_freshness.version().value());
    if (m_freshness.version().value() > digest.table_version())
        *update.mutable_table() = m_table;
    return update;
}

wire::NoticeReply gossip::applyNotice(const wire::Notice& notice)
{
    relay(notice);
    if (notice.has_speeds())
        applySpeeds(notice);
    if (notice.has_table())
        applyTable(config_version { notice.table().version() }, notice.table().value());
    for (const auto& message : notice.assignments())
        applyAssignment(message);
    for (const auto& message : notice.changes())
        applyChange(message);
    // Nobody reads the reply to the speed of targets.
    if (notice.has_speeds())
        return {};
    wire::NoticeReply reply;
    m_routes.describe(*reply.mutable_assignments());
    reply.set_incarnation(m_options.run.value());
    reply.set_table_version(version().value());
    return reply;
}

void gossip::announce(config_version version, const std::string& value)
{
    if (version <= this->version())
        return;
    applyTable(version, value);
    wire::Notice notice;
    notice.set_host(m_options.self.value());
    notice.mutable_table()->set_version(version.value());
    notice.mutable_table()->set_value(value);
    notifyAll(notice);
}

void gossip::notifyAll(const wire::Notice& notice)
{
    for (const auto& peer : m_peerRegistry.allPeers(monotonic_clock::now()))
        peer->publish(notice, gossipTimeoutMs, [](const auto&) {});
}

bool gossip::confirmed(instant now) const
{
    const auto peers = m_peerRegistry.connectionSharers(now) - 1;
    const std::lock_guard guard(m_lock);
    return m_freshness.confirmed(now, peers);
}

config_version gossip::version() const
{
    const std::lock_guard guard(m_lock);
    return m_freshness.version();
}

} // namespace pimentomast::serve::detail
