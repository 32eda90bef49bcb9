#include "pimentomast/settings.h"

#include <criterion/criterion.h>
#include <cstdlib>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>

using namespace pimentomast;

namespace {

std::string source(const std::string& path)
{
    const char* root = std::getenv("PIMENTOMAST_SOURCE");
    std::ostringstream text;
    text << std::ifstream(std::string(root == nullptr ? "." : root) + "/" + path).rdbuf();
    return text.str();
}

std::string rendered(std::string text, const std::map<std::string, std::string>& values)
{
    for (const auto& [name, value] : values) {
        const auto placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder))
            text.replace(at, placeholder.size(), value);
    }
    return text;
}

} // namespace

Test(platform_settings, deploy_template_renders_to_valid_settings)
{
    const std::string terms = "seedLag=3s,drain=2000ms,grace=6s,lost_time=200ms";
    const auto text = rendered(source("deploy/settings.ini"),
        { { "node", "front-kalimati-1" }, { "zone", "kalimati" }, { "ip", "10.1.0.34" },
            { "listen.front", "10.1.0.34:8548" }, { "listen.ready", "10.1.0.34:8542" },
            { "portRange.0", "7540" }, { "provider.address", "10.200.1.7:8541" },
            { "limits.maxFds", "4100" }, { "limits.cpuShare", "0.2" }, { "bounds", terms } });
    cr_assert(text.find("{{") == std::string::npos, "%s", text.c_str());
    const auto values = settings::parse(text);
    cr_assert(values.has_value(), "%s", values.has_error() ? values.error().reason.c_str() : "");
    cr_assert(values.value().store.interface == settings::store_interface::Platform);
    cr_assert(values.value().admin.token.empty());
    cr_assert_eq(values.value().limits.callerConnections(), 2050);
    cr_assert(values.value().limits.detectMemory);
    cr_assert_eq(values.value().store.terms, terms);
}

Test(platform_settings, bodies_may_take_a_quarter_of_what_the_process_has_above_its_own_needs)
{
    settings::limit_settings limits;
    cr_assert_eq(limits.bodyMemory(), 0);
    limits.memoryMb = 160;
    cr_assert_eq(limits.bodyMemory(), (160 - 48) * 1048576 / 4);
    limits.memoryMb = 20;
    cr_assert_eq(limits.bodyMemory(), 1048576);
    limits.bodyMemoryBytes = 5000;
    cr_assert_eq(limits.bodyMemory(), 5000);
}
