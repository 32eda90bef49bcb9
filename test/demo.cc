#include "helper.h"

#include <csignal>
#include <cstring>
#include <iostream>

/// Starts a whole installation on the loopback interface, sends requests through every host and
/// checks each answer. support/demo.sh runs it.
namespace {

using namespace pimentomast;
using namespace pimentomast::test;

constexpr unsigned requestsPerHost = 120;

cluster_options installation()
{
    cluster_options options;
    options.targets = { { "kalimati", "weights" }, { "bhaktapur", "weights" },
        { "hetauda", "ledger" }, { "dhading", "ledger" }, { "export1", "export", true, 4, false },
        { "export2", "export", true, 4, false } };
    options.useCutter = false;
    return options;
}

struct answer_counts {
    unsigned right = 0;
    unsigned wrong = 0;
};

/// Returns true if the answer is complete, belongs to this request and comes from the only owner of
/// the key.
bool isRight(const http_reply& reply, const std::string& path, std::string& owner)
{
    const auto target = jsonField(reply.body, "target");
    if (owner.empty())
        owner = target;
    return reply.status == 200 && reply.complete && jsonField(reply.body, "path") == path
        && target == owner;
}

answer_counts sendThrough(
    const cluster& system, std::size_t host, std::map<std::string, std::string>& owners)
{
    answer_counts count;
    for (unsigned i = 0; i < requestsPerHost; ++i) {
        const std::string service = i % 3 == 0 ? "weights" : i % 3 == 1 ? "ledger" : "export";
        const auto key = "/" + service + "/k" + std::to_string(i % 10);
        const auto path = key + "?request=" + std::to_string(host) + "-" + std::to_string(i);
        const bool post = service == "ledger";
        const auto reply
            = system.send(host, { post ? "POST" : "GET", path, post ? "one crate" : "" });
        std::string anyTarget;
        const bool right = isRight(reply, path, service == "export" ? anyTarget : owners[key]);
        ++(right ? count.right : count.wrong);
        if (!right)
            std::cout << "wrong: " << path << ": " << reply.status << " " << reply.body
                      << reply.failure << "\n";
    }
    return count;
}

void describe(const cluster& system)
{
    std::cout << "platform " << system.platform().text() << "\n";
    for (const auto& host : system.hosts())
        std::cout << host.id << " callers " << host.callerAddress.text() << " admin "
                  << host.adminAddress.text() << " settings " << host.settingsFile << "\n";
    for (const auto& target : system.targets())
        std::cout << target.spec.id << " of " << target.spec.service << " "
                  << target.listenAddress.text() << "\n";
}

void waitForInterrupt()
{
    std::cout << "running; interrupt to end" << std::endl;
    sigset_t ends;
    sigemptyset(&ends);
    sigaddset(&ends, SIGINT);
    sigaddset(&ends, SIGTERM);
    sigprocmask(SIG_BLOCK, &ends, nullptr);
    int received = 0;
    sigwait(&ends, &received);
}

int runDemo(bool keep)
{
    cluster system(installation());
    describe(system);
    std::map<std::string, std::string> owners;
    answer_counts all;
    for (std::size_t host = 0; host < system.hosts().size(); ++host) {
        const auto count = sendThrough(system, host, owners);
        std::cout << system.hosts()[host].id << ": " << count.right << " right, " << count.wrong
                  << " wrong\n";
        all.right += count.right;
        all.wrong += count.wrong;
    }
    const auto violations = findViolations(system, {});
    std::cout << violations << "total: " << all.right << " right, " << all.wrong << " wrong"
              << std::endl;
    if (keep)
        waitForInterrupt();
    return all.wrong == 0 && violations.empty() ? 0 : 1;
}

} // namespace

int main(int count, char** arguments)
{
    try {
        return runDemo(count > 1 && std::strcmp(arguments[1], "--keep") == 0);
    } catch (const std::exception& cause) {
        std::cerr << "demo: " << cause.what() << "\n";
        return 1;
    }
}
