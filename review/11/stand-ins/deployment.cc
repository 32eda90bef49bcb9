#include "deployment.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>

namespace review {
namespace {

constexpr milliseconds restartDelay { 500 };
constexpr std::size_t printedFaults = 8;

std::string hexVersion(unsigned version)
{
    constexpr std::size_t digits = 8;
    std::string text(digits, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit, version /= 16)
        *digit = "0123456789abcdef"[version % 16];
    return text;
}

} // namespace

std::string configurationText(unsigned version, const std::vector<route_options>& routes,
    const std::vector<service_options>& services)
{
    std::string text = "{\"version\":\"" + hexVersion(version) + "\",\"resources\":[";
    for (const auto& each : routes)
        text += "{\"type\":\"routes\",\"metadata\":{\"name\":\"r-" + each.service
            + "\"},\"spec\":{\"host\":\"" + authority + "\",\"prefix\":\"" + each.prefix
            + "\",\"kind\":\"" + each.kind + "\",\"timeout\":\""
            + std::to_string(each.timeout.count())
            + "ms\",\"slo\":\"300ms\",\"priority\":1,\"service\":\"" + each.service
            + "\",\"attempts\":2}},";
    for (const auto& each : services)
        text += "{\"type\":\"services\",\"metadata\":{\"name\":\"" + each.name
            + "\"},\"spec\":{\"healthPath\":\"/healthz\",\"maxConns\":130,\"protocol\":\"h1\","
              "\"tls\":false"
            + std::string(
                each.isKeyed ? ",\"sharded\":true,\"warm\":\"3s\",\"grants\":\"rpc\"" : "")
            + "}},";
    return text
        + "{\"type\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,"
          "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}]}";
}

scratch_folder::scratch_folder()
{
    auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary folder");
    m_path = pattern;
}

scratch_folder::~scratch_folder()
{
    std::error_code ignored;
    if (std::getenv("REVIEW_KEEP") == nullptr)
        std::filesystem::remove_all(m_path, ignored);
    else
        std::cout << "kept " << m_path << '\n';
}

deployment::deployment(unsigned hostCount)
{
    for (unsigned i = 1; i <= hostCount; ++i)
        hosts.push_back(std::make_unique<host_process>(
            host_options { "front-" + std::to_string(i), "zone-a", folder.path(), store.open() },
            seen));
}

void deployment::configure(unsigned version, const std::vector<route_options>& routes,
    const std::vector<service_options>& services)
{
    store.put({ "op", "", "config" }, configurationText(version, routes, services));
    seen.note("configuration " + std::to_string(version));
}

void deployment::startHosts()
{
    for (const auto& each : hosts)
        each->start();
}

unsigned deployment::restartEnded()
{
    unsigned count = 0;
    for (const auto& each : hosts) {
        if (!each->ended())
            continue;
        ++count;
        std::this_thread::sleep_for(restartDelay);
        each->start();
    }
    return count;
}

int conclude(
    const record& seen, const std::string& recordPath, const std::vector<std::string>& broken)
{
    seen.write(recordPath);
    std::cout << seen.sentCount() << " requests, " << seen.runCount() << " runs, "
              << seen.successCount() << " successes\n";
    for (std::size_t i = 0; i < broken.size() && i < printedFaults; ++i)
        std::cout << "broken: " << broken[i] << '\n';
    std::cout << broken.size() << " faults in all\n";
    return broken.empty() ? 0 : 1;
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

} // namespace review
