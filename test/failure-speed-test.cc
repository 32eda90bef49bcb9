#include "helper.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;

/// The speed of targets, shared between hosts that run as processes.
namespace {

/// Token of the hosts' administration in the settings that the cluster writes.
const std::string adminToken = "0123456789abcdef0123456789abcdef";

cluster_options threeTargets(bool shares)
{
    cluster_options options;
    for (const auto* id : { "u1", "u2", "u3" })
        options.targets.push_back({ id, "orders", true, 4, false });
    options.settings = std::string("[targets]\nshare_speed = ") + (shares ? "yes" : "no") + "\n";
    return options;
}

/// Returns the factor that a host uses for a target; 0 if it does not answer.
double factorOf(const cluster::host_process& host, const std::string& target)
{
    const auto reply = call(host.adminAddress,
        { "GET", "/status", "", { { "Authorization", "Bearer " + adminToken } } });
    if (reply.status != 200)
        return 0;
    const auto status = Poco::JSON::Parser().parse(reply.body).extract<Poco::JSON::Object::Ptr>();
    const auto targets = status->getArray("targets");
    for (unsigned i = 0; targets && i < targets->size(); ++i) {
        const auto each = targets->getObject(i);
        if (each->optValue<std::string>("target", "") == target)
            return each->optValue("speed_factor", 0.0);
    }
    return 0;
}

load_generator::options load()
{
    load_generator::options chosen;
    chosen.services = { "orders" };
    chosen.threads = 6;
    chosen.pause = milliseconds { 20 };
    return chosen;
}

void setServiceTimes(cluster& system)
{
    system.targetFault("u1", R"({"service_ms":120})");
    system.targetFault("u2", R"({"service_ms":40})");
    system.targetFault("u3", R"({"service_ms":40})");
}

} // namespace

// Each host sees too little of a target; all must learn that u1 is slow, also from a collector that
// took over.
Test(failure_speed, all_hosts_learn_which_target_is_slow)
{
    cluster system(threeTargets(true));
    setServiceTimes(system);
    load_generator callers(system, load());
    const auto isSlow = [&](const auto& host) {
        const double factor = factorOf(host, "u1");
        return factor > 0 && factor < 0.7;
    };
    const auto allKnow
        = [&] { return std::all_of(system.hosts().begin(), system.hosts().end(), isSlow); };
    cr_assert(waitUntil(allKnow));
    system.host("h1").child.kill();
    system.startHost("h1");
    cr_assert(waitUntil(allKnow));
    cr_assert_gt(factorOf(system.host("h2"), "u2"), 0.8);
    (void)callers.stop();
}

// Without the setting, hosts route as before.
Test(failure_speed, nothing_is_shared_by_default)
{
    cluster system(threeTargets(false));
    setServiceTimes(system);
    load_generator callers(system, load());
    std::this_thread::sleep_for(seconds { 8 });
    for (const auto& host : system.hosts())
        cr_assert_float_eq(factorOf(host, "u1"), 1, 1e-9);
    (void)callers.stop();
}
