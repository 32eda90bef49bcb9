#include "../helper.h"

#include "pimentomast/ownership.h"

#include <Poco/JSON/Array.h>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace pimentomast::test {

namespace {

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

std::int64_t nowUs() { return monotonic_clock::now().time_since_epoch().count(); }

std::atomic<unsigned> nextFolderNumber = 1;

/// Timeout of each probe, so that probing continues while nothing is served.
constexpr milliseconds probeTimeout { 3000 };

const std::string adminToken = "0123456789abcdef0123456789abcdef";

} // namespace

cluster::cluster(const cluster_options& options)
    : m_options(options)
    , m_folder(scratchFolder() + "/" + std::to_string(nextFolderNumber++))
    , m_platformAddress(freeAddress())
    , m_cutterAddress(freeAddress())
{
    std::filesystem::create_directories(m_folder);
    startPlatform();
    startCutter();
    for (const auto& spec : options.targets) {
        const auto listenAddress = freeAddress();
        m_targets.push_back({ spec, listenAddress, addLink("target/" + spec.id, listenAddress),
            m_folder + "/" + spec.id + ".record", process::none() });
        startTarget(spec.id);
    }
    for (unsigned i = 0; i < options.hosts; ++i) {
        const auto id = "h" + std::to_string(i + 1);
        const auto peerAddress = freeAddress();
        m_hosts.push_back({ id, freeAddress(), peerAddress, addLink("peers/" + id, peerAddress),
            freeAddress(), m_folder + "/" + id + ".ini", process::none() });
        writeSettings(m_hosts.back(), addLink("platform/" + id, m_platformAddress));
    }
    publishHosts();
    if (const int status = applyTable(table(), 0); status != 0)
        throw failure({ "apply table", m_folder, "exit status " + std::to_string(status) });
    for (const auto& host : m_hosts)
        startHost(host.id);
    waitUntilServed();
}

void cluster::startPlatform()
{
    m_platform = std::make_unique<process>(process::start(
        "stand-in-store", { "--address", m_platformAddress.text() }, m_folder + "/platform.log"));
    const bool up
        = waitUntil([this] { return getJson(m_platformAddress, "/control/counts") != nullptr; });
    if (!up)
        throw failure({ "start platform", m_platformAddress.text(), "not reachable" });
}

void cluster::startCutter()
{
    if (!m_options.useCutter)
        return;
    m_cutter = std::make_unique<process>(process::start(
        "stand-in-cutter", { "--control", m_cutterAddress.text() }, m_folder + "/cutter.log"));
    const bool up = waitUntil([this] { return call(m_cutterAddress, { "GET" }).status != 0; });
    if (!up)
        throw failure({ "start cutter", m_cutterAddress.text(), "not reachable" });
}

endpoint cluster::addLink(const std::string& name, const endpoint& to) const
{
    if (!m_options.useCutter)
        return to;
    auto listen = freeAddress();
    put(m_cutterAddress, "/links",
        R"({"name":)" + quoted(name) + R"(,"listen":)" + quoted(listen.text()) + R"(,"to":)"
            + quoted(to.text()) + "}");
    return listen;
}

void cluster::writeSettings(const host_process& host, const endpoint& platform) const
{
    std::ofstream file(host.settingsFile);
    file << "[host]\nid = " << host.id << "\ndomain = d" << host.id.substr(1)
         << "\ncallers = " << host.callerAddress.text() << "\npeers = " << host.peerAddress.text()
         << "\nadmin = " << host.adminAddress.text()
         << "\nadvertise = " << host.advertisedPeerAddress.text()
         << "\n[admin]\ntoken = " << adminToken << "\n[store]\naddress = " << platform.text()
         << "\n"
         << m_options.settings;
}

void cluster::publishHosts() const
{
    std::string list;
    for (const auto& host : m_hosts)
        list += (list.empty() ? "" : ",") + (R"({"id":)" + quoted(host.id)) + R"(,"domain":"d)"
            + host.id.substr(1) + R"(","peers":)" + quoted(host.advertisedPeerAddress.text())
            + R"(,"state":"live"})";
    put(m_platformAddress, "/control/hosts", R"({"hosts":[)" + list + "]}");
}

void cluster::sendHostPids() const
{
    if (!m_options.useCutter)
        return;
    std::string list;
    for (const auto& host : m_hosts)
        if (host.child.id() > 0)
            list += (list.empty() ? "" : ",") + std::to_string(host.child.id());
    put(m_cutterAddress, "/sources", R"({"pids":[)" + list + "]}");
}

cluster::target_process& cluster::target(const std::string& id)
{
    for (auto& each : m_targets)
        if (each.spec.id == id)
            return each;
    throw failure({ "find target", id, "no such target" });
}

cluster::host_process& cluster::host(const std::string& id)
{
    for (auto& each : m_hosts)
        if (each.id == id)
            return each;
    throw failure({ "find host", id, "no such host" });
}

http_reply cluster::send(std::size_t host, const http_call& request) const
{
    return call(m_hosts.at(host).callerAddress, request);
}

std::string cluster::ownerOf(const std::string& service, const std::string& key)
{
    std::string owner;
    const http_call request { "GET", "/" + service + "/" + key, "", { { "X-Caller", "probe" } },
        probeTimeout };
    (void)waitUntil([&] {
        for (auto& host : m_hosts) {
            if (!host.child.running())
                continue;
            const auto reply = call(host.callerAddress, request);
            if (reply.status == 200 && reply.complete)
                owner = jsonField(reply.body, "target");
        }
        return !owner.empty();
    });
    return owner;
}

std::string cluster::coordinatorOf(const std::string& service) const
{
    const auto row = getJson(m_platformAddress, "/rows/coordinator%2F" + service);
    if (!row)
        return {};
    return ownership::parseCoordinatorRow(row->getValue<std::string>("value"))
        .value()
        .holder.host.value();
}

void cluster::waitUntilServed()
{
    std::set<std::string> services;
    for (const auto& each : m_targets)
        services.insert(each.spec.service);
    for (const auto& service : services)
        waitUntilServed(service);
}

void cluster::waitUntilServed(const std::string& service)
{
    for (auto& host : m_hosts) {
        if (!host.child.running())
            continue;
        http_reply last;
        const bool served = waitUntil([&] {
            for (const auto* key : { "k0", "k1", "k2", "k3" }) {
                last = call(host.callerAddress,
                    { "GET", "/" + service + "/" + key, "", { { "X-Caller", "probe" } },
                        probeTimeout });
                if (last.status != 200)
                    return false;
            }
            return true;
        });
        if (!served)
            throw failure({ "wait for " + service, host.id,
                "not served (" + std::to_string(last.status) + " " + last.body + "), see "
                    + m_folder });
    }
}

std::string cluster::table(const std::set<std::string>& leaving) const
{
    std::ostringstream csv;
    csv << "kind,id,prefix,key,caller,repeatable,deadline_ms,service,address,domain,slots,"
           "checks_tokens,state\n";
    std::set<std::string> services;
    for (const auto& each : m_targets) {
        if (!services.insert(each.spec.service).second)
            continue;
        const bool repeatable = m_options.repeatablePosts.contains(each.spec.service);
        csv << "service," << each.spec.service << ",/" << each.spec.service << ","
            << (each.spec.keyed ? "path:1" : "none") << ",header:X-Caller,GET HEAD"
            << (repeatable ? " POST" : "") << "," << m_options.deadlineMs << ",,,,,,\n";
    }
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        const auto& each = m_targets[i];
        csv << "target," << each.spec.id << ",,,,,," << each.spec.service << ","
            << each.advertisedAddress.text() << ",d" << i % 3 + 1 << "," << each.spec.slots << ","
            << (each.spec.checksTokens ? "yes" : "no") << ","
            << (leaving.contains(each.spec.id) ? "leaving" : "active") << "\n";
    }
    return csv.str();
}

int cluster::runCommand(std::vector<std::string> arguments) const
{
    arguments.insert(arguments.end(), { "--store", m_platformAddress.text() });
    return process::start("pimentomast", arguments, m_folder + "/command.log").wait();
}

int cluster::applyTable(const std::string& csv, std::uint64_t base) const
{
    const auto file = m_folder + "/table-" + std::to_string(nowUs()) + ".csv";
    std::ofstream(file) << csv;
    return runCommand({ "table", "apply", "--file", file, "--base", std::to_string(base),
        "--editor", "operator" });
}

void cluster::killTarget(const std::string& id)
{
    auto& killed = target(id);
    killed.child.kill();
    killed.killedUs.push_back(nowUs());
}

void cluster::startTarget(const std::string& id)
{
    auto& started = target(id);
    std::vector<std::string> arguments { "--listen", started.listenAddress.text(), "--id", id,
        "--record", started.recordFile, "--slots", std::to_string(started.spec.slots) };
    if (started.spec.keyed)
        arguments.emplace_back("--keyed");
    if (!started.spec.checksTokens)
        arguments.emplace_back("--no-token-checks");
    started.child = process::start("stand-in-target", arguments, m_folder + "/" + id + ".log");
    const bool up = waitUntil([&] {
        return call(started.listenAddress, { "GET", "/record" }).status == 200;
    });
    if (!up)
        throw failure({ "start target", id, "not reachable, see " + m_folder });
}

void cluster::startHost(const std::string& id)
{
    auto& started = host(id);
    started.child = process::start("pimentomast", { "serve", "--settings", started.settingsFile },
        m_folder + "/" + id + ".log");
    sendHostPids();
}

std::optional<std::uint64_t> cluster::versionOf(const std::string& id)
{
    const auto reply = call(host(id).adminAddress,
        { "GET", "/status", "", { { "Authorization", "Bearer " + adminToken } }, probeTimeout });
    const auto version = jsonField(reply.body, "table_version");
    return version.empty() ? std::nullopt : std::optional(std::stoull(version));
}

void cluster::waitForVersion(std::uint64_t version, std::vector<std::string> names)
{
    if (names.empty())
        for (const auto& each : m_hosts)
            names.push_back(each.id);
    for (const auto& name : names)
        if (!waitUntil([&] { return versionOf(name).value_or(0) >= version; }))
            throw failure({ "wait for table", name, "timed out before the version was in force" });
}

void cluster::inject(const std::string& link, const std::string& bytes) const
{
    Poco::JSON::Object body;
    body.set("link", link);
    body.set("bytes", bytes);
    std::ostringstream text;
    body.stringify(text);
    put(m_cutterAddress, "/inject", text.str());
}

void cluster::platformFault(const std::string& json) const
{
    put(m_platformAddress, "/control", json);
}

void cluster::targetFault(const std::string& id, const std::string& json)
{
    put(target(id).listenAddress, "/control", json);
}

void cluster::setLinkMode(const std::string& link, const std::string& mode, pid_t from) const
{
    const auto source = from == 0 ? std::string() : R"(,"from":)" + std::to_string(from);
    put(m_cutterAddress, "/control",
        R"({"link":)" + quoted(link) + R"(,"mode":)" + quoted(mode) + source + "}");
}

void cluster::resetNextConnection(const std::string& link, const std::string& match,
    const std::string& direction, std::size_t bytes) const
{
    put(m_cutterAddress, "/break",
        R"({"link":)" + quoted(link) + R"(,"match":)" + quoted(match) + "," + quoted(direction)
            + ":" + std::to_string(bytes) + "}");
}

void cluster::isolateHost(const std::string& id, const std::string& mode)
{
    const auto process = host(id).child.id();
    setLinkMode("platform/" + id, mode);
    setLinkMode("peers/" + id, mode);
    for (const auto& other : m_hosts)
        if (other.id != id)
            setLinkMode("peers/" + other.id, mode, process);
}

} // namespace pimentomast::test
