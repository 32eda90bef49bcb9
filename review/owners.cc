#include "installation.h"

#include <iostream>

/// Case 1: one of six upstreams of a keyed service is cut off from all hosts for 5.5 s. Prints
/// whether the rule OWNER held, and exits with 1 if it was broken, 0 if it held, 2 if the case
/// could not run.
namespace review {
namespace {

constexpr unsigned upstreamCount = 6;
constexpr unsigned hostCount = 3;
constexpr long cutMs = 5500;
constexpr long thawMs = 300;
constexpr long startLimitMs = 30000;
constexpr long settleMs = 4000;
constexpr long sinceGrantMs = 400;
constexpr long afterMs = 12000;
constexpr long heartbeatMs = 870;
constexpr std::chrono::milliseconds requestInterval { 100 };

const std::string configuration
    = R"({"version":"00000007","resources":[)"
      R"({"type":"routes","metadata":{"name":"r1"},"spec":{"host":"weights.example",)"
      R"("prefix":"/weights/","kind":"idempotent","timeout":"800ms","slo":"300ms","priority":2,)"
      R"("service":"weights","attempts":2}},)"
      R"({"type":"services","metadata":{"name":"weights"},"spec":{"healthPath":"/healthz",)"
      R"("maxConns":130,"protocol":"h1","tls":false,"sharded":true,"warm":"3s","grants":"rpc"}},)"
      R"({"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
      R"("headerTimeout":"3000ms","idleTimeout":"15000ms"}}]})";

class owners_case {
public:
    owners_case(std::string folder, const std::string& recordFile, bool isCut)
        : m_folder(std::move(folder))
        , m_log(recordFile)
        , m_check(m_log)
        , m_isCut(isCut)
        , m_store(new handler_factory<store_handler, row_store>(m_rows))
    {
        for (unsigned i = 0; i < upstreamCount; ++i)
            addUpstream("i-" + std::to_string(i + 1));
    }

    int run()
    {
        m_rows.put({ "op", "", "config" }, base64(configuration));
        beat();
        m_hosts = writeHostSettings(m_folder, hostCount, m_store.address().toString());
        if (!waitForOwners()) {
            m_log.add("the case could not run: the keys had no owners in time");
            return 2;
        }
        serveFor(settleMs);
        if (m_isCut) {
            waitAfterGrant();
            m_link->cut(m_log.now(), m_log.now() + cutMs);
            m_log.add("link of i-1 is cut for " + std::to_string(cutMs) + " ms");
        }
        serveFor(cutMs);
        m_log.add("the cut is over");
        serveFor(afterMs);
        const auto broken = m_check.broken();
        m_log.add("answered " + std::to_string(m_answered) + " of " + std::to_string(m_sent)
            + " requests; OWNER broken " + std::to_string(broken) + " times");
        std::cout << "OWNER broken " << broken << " times\n";
        return broken > 0 ? 1 : 0;
    }

    void stop()
    {
        m_link.reset();
        for (auto& each : m_servers)
            each->stop();
        m_store.stop();
    }

private:
    void addUpstream(const std::string& id)
    {
        m_upstreams.push_back(std::make_unique<upstream>(
            id, m_log, [this](const auto& from, const auto& range) { taken(from, range); }));
        m_servers.push_back(std::make_unique<loopback_server>(
            new handler_factory<upstream_handler, upstream>(*m_upstreams.back())));
        auto address = m_servers.back()->address();
        if (!m_link) {
            m_link = std::make_unique<link>(address, m_log);
            address = m_link->address();
        }
        m_addresses.push_back(address.toString());
    }

    void taken(const upstream& from, const granted_range& range)
    {
        const long healed = m_link ? m_link->healedMs() : 0;
        const long now = m_log.now();
        if (from.id() == m_upstreams.front()->id())
            m_lastGrantMs = now;
        m_check.taken(from.id(), range, now >= healed && now <= healed + thawMs);
    }

    /// Waits until half of the interval of renewals has passed since i-1 took a grant, so that no
    /// call is on its way when the link is cut.
    void waitAfterGrant()
    {
        while (m_log.now() - m_lastGrantMs < sinceGrantMs)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }

    void beat()
    {
        if (m_lastBeat && m_log.now() - *m_lastBeat < heartbeatMs)
            return;
        m_lastBeat = m_log.now();
        ++m_beats;
        for (unsigned i = 0; i < upstreamCount; ++i)
            m_rows.put({ "servers", "", m_upstreams[i]->id() },
                base64(registration("weights", m_addresses[i], 1790000000000 + i, m_beats)));
    }

    bool waitForOwners()
    {
        while (m_log.now() < startLimitMs) {
            beat();
            unsigned held = 0;
            bool each = true;
            for (const auto& one : m_upstreams) {
                held += one->heldKeys();
                each = each && one->heldKeys() > 0;
            }
            if (held == keyCount && each)
                return true;
            std::this_thread::sleep_for(requestInterval);
        }
        return false;
    }

    void serveFor(long spanMs)
    {
        const long until = m_log.now() + spanMs;
        while (m_log.now() < until) {
            beat();
            const unsigned key = (m_sent * 4099) % keyCount;
            const auto& host = m_hosts[m_sent % m_hosts.size()];
            ++m_sent;
            m_answered += sendLookup(host, "q" + std::to_string(m_sent), key, m_log) == 200 ? 1 : 0;
            std::this_thread::sleep_for(requestInterval);
        }
    }

    const std::string m_folder;
    record m_log;
    fence_check m_check;
    const bool m_isCut;
    row_store m_rows;
    loopback_server m_store;
    std::vector<std::unique_ptr<upstream>> m_upstreams;
    std::vector<std::unique_ptr<loopback_server>> m_servers;
    std::unique_ptr<link> m_link;
    std::vector<std::string> m_addresses;
    std::vector<std::string> m_hosts;
    std::atomic<long> m_lastGrantMs { 0 };
    std::optional<long> m_lastBeat;
    unsigned long m_beats = 0;
    unsigned m_sent = 0;
    unsigned m_answered = 0;
};

} // namespace
} // namespace review

int main(int count, char** arguments)
{
    if (count != 4) {
        std::cerr << "usage: owners FOLDER RECORD 0|1\n";
        return 2;
    }
    try {
        review::owners_case running(arguments[1], arguments[2], std::string(arguments[3]) == "1");
        const int result = running.run();
        std::cout.flush();
        std::_Exit(result);
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << '\n';
        return 2;
    }
}
