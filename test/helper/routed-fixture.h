#pragma once

#include "proxy-fixture.h"

#include <algorithm>

namespace pimentomast::test {

/// Reports the same owner for every key; tests may change or clear it.
class single_owner_lookup : public routing::owner_lookup {
public:
    routing::owner_answer find(instant, const service_id&, key_hash) const override
    {
        if (owner.empty())
            return routing::no_owner {};
        return routing::owned_by { target_id { owner }, token { epoch { 3 }, sequence { 7 } } };
    }

    std::string owner = "t1";
};

/// A proxy that dispatches through a real router.
class routed_fixture {
public:
    explicit routed_fixture(
        const std::vector<endpoint>& targets, const routing::options& settings = {})
        : dispatcher(proxy::routed_dispatcher::create(settings, owners, {}).value())
    {
        auto rows = std::make_shared<table::table>(*proxyTable());
        for (std::size_t i = 0; i < targets.size(); ++i) {
            for (const char* service : { "weights", "ledger" })
                addTarget(*rows, service, i, targets[i]);
        }
        server = proxy::server::start({}, *dispatcher, m_observer).value();
        dispatcher->attach(server->sink());
        dispatcher->setTable(*rows);
        dispatcher->call(
            [](instant now, routing::router& router) { return router.applyLiveHosts(now, 1); });
        server->setTable(rows);
    }
    ~routed_fixture() { dispatcher->detach(); }
    routed_fixture(const routed_fixture&) = delete;
    routed_fixture& operator=(const routed_fixture&) = delete;

    [[nodiscard]] endpoint address() const { return server->address(); }

    single_owner_lookup owners;
    std::unique_ptr<proxy::routed_dispatcher> dispatcher;

private:
    static void addTarget(
        table::table& rows, const std::string& service, std::size_t index, const endpoint& address)
    {
        table::target_row row;
        const bool first = service == "weights";
        row.id = target_id { (first ? "t" : "l") + std::to_string(index + 1) };
        row.service = service_id { service };
        row.address = address;
        row.slots = 100;
        row.connections = 100;
        rows.targets.push_back(row);
        std::sort(rows.targets.begin(), rows.targets.end(),
            [](const auto& left, const auto& right) { return left.id < right.id; });
    }

    null_observer m_observer;

public:
    std::unique_ptr<proxy::server> server;
};

} // namespace pimentomast::test
