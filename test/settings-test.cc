#include "pimentomast/settings.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace pimentomast;
using settings::problem;

namespace {

const std::string secret = "correct-horse-battery";

const std::string valid = "[host]\nid = k1\ndomain = kalimati\ncallers = 127.0.0.1:8000\n"
                          "peers = 127.0.0.1:8001\nadmin = 127.0.0.1:8002\n"
                          "[store]\naddress = 127.0.0.1:9000\n"
                          "[admin]\ntoken = correct-horse-battery\n";

std::vector<problem> problemsOf(const std::string& text)
{
    const auto outcome = settings::check(text);
    const auto* found = std::get_if<std::vector<problem>>(&outcome);
    return found ? *found : std::vector<problem> {};
}

bool hasProblem(
    const std::vector<problem>& found, const std::string& location, const std::string& reason)
{
    return std::any_of(found.begin(), found.end(), [&](const auto& each) {
        return each.text().starts_with(location + ":")
            && each.reason.find(reason) != std::string::npos;
    });
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

struct invalid_file {
    std::string text;
    std::string location;
    std::string reason;
};

const std::vector<invalid_file>& invalidFiles()
{
    static const std::vector<invalid_file> all {
        { valid + "[colours]\nred = 1\n", "[colours]", "unknown section" },
        { valid + "[empty]\n", "[empty]", "unknown section" },
        { valid + "[log]\ncolour = red\n", "[log] colour", "unknown key" },
        { valid + "[limits]\nworkers.more = 1\n", "[limits] workers.more", "unknown key" },
        { valid + "[limits]\nWorkers = 1\n", "[limits] Workers", "unknown key" },
        { "id = k1\n" + valid, "[] id", "outside of any section" },
        { valid + "[log]\nlevel\n", "[log] level", "must be one of" },
        { valid + "[log]\nwords without sense\n", "[log]", "key = value" },
        { valid + "# remark\n", "[admin]", "key = value" },
        { valid + "[log\nlevel = info\n", "[log]", "does not end with" },
        { valid + "[limits]\nworkers = many\n", "[limits] workers", "not a whole number" },
        { valid + "[limits]\nworkers = -1\n", "[limits] workers", "not a whole number" },
        { valid + "[limits]\nworkers = 1.5\n", "[limits] workers", "not a whole number" },
        { valid + "[limits]\nworkers =\n", "[limits] workers", "not a whole number" },
        { valid + "[limits]\nworkers = 0\n", "[limits] workers", "out of range 1..1024" },
        { valid + "[limits]\nworkers = 99999999999999999999\n", "[limits] workers", "number" },
        { valid + "[log]\nlevel = loud\n", "[log] level", "debug, info, warning, error" },
        { replaced(valid, "id = k1", "id = k 1"), "[host] id", "letters" },
        { replaced(valid, "id = k1\n", ""), "[host] id", "missing" },
        { replaced(valid, "127.0.0.1:8000", "localhost:8000"), "[host] callers", "IPv4" },
        { replaced(valid, "127.0.0.1:8000", "127.0.0.1:0"), "[host] callers", "port" },
        { replaced(valid, "127.0.0.1:8000", "127.0.0.1"), "[host] callers", "ip:port" },
        { replaced(valid, "127.0.0.1:8000", "127.1:8000"), "[host] callers", "IPv4" },
        { replaced(valid, "127.0.0.1:8000", ":8000"), "[host] callers", "IPv4" },
        { replaced(valid, "127.0.0.1:8000", "0.0.0.0:8001"), "[host] peers", "same address" },
        { replaced(valid, "127.0.0.1:8001", "0.0.0.0:8001"), "[host] advertise", "one address" },
        { replaced(valid, "127.0.0.1:8001", "127.0.0.1:8000"), "[host] peers", "same address" },
        { replaced(valid, "127.0.0.1:8002", "127.0.0.1:8001"), "[host] admin", "same address" },
        { replaced(valid, "id = k1", "id = k1\nseeds = 127.0.0.1:1, x"), "[host] seeds",
            "ip:port" },
        { replaced(valid, "id = k1", "id = k1\nprocessors = many"), "[host] processors", "number" },
        { replaced(valid, "id = k1", "id = k1\nprocessors = nan"), "[host] processors", "number" },
        { replaced(valid, "id = k1", "id = k1\nprocessors = 0"), "[host] processors", "range" },
        { replaced(valid, "id = k1", "id = k1\nprocessors = 1e9"), "[host] processors", "range" },
        { valid + "[host]\nadvertise = 127.0.0.1:1\n", "[host]", "duplicate section" },
        { valid + "[HOST]\n", "[HOST]", "duplicate section" },
        { replaced(valid, "id = k1", "id = k1\nid = k2"), "[host] id", "duplicate key" },
        { replaced(valid, "id = k1", "id = k1\nID = k1"), "[host] ID", "duplicate key" },
        { replaced(valid, secret, "short"), "[admin] token", "16 to 256" },
        { replaced(valid, "[admin]\ntoken = " + secret + "\n", ""), "[admin] token", "missing" },
        { valid + "[ownership]\nrenew_ms = 1000\n", "[ownership] renew_ms", "target_lease_ms" },
        { valid + "[ownership]\nauthority_ms = 1500\n", "[ownership] authority_ms", "less than" },
        { valid + "[ownership]\nauthority_renew_ms = 600\n", "[ownership] authority_renew_ms",
            "half of authority_ms" },
        { valid + "[ownership]\noutage_limit_ms = 1000\nauthority_ms = 1100\n",
            "[ownership] outage_limit_ms", "more than authority_ms" },
        { valid + "[log]\nsink = file\n", "[log] file", "missing" },
        { valid + "[log]\nfile = /tmp/log\n", "[log] file", "contradicts" },
    };
    return all;
}

} // namespace

Test(settings, valid_file_gives_typed_values)
{
    const auto values
        = settings::parse("; remark\n" + valid + "[log]\nlevel = error\n[drain]\naccept_ms = 0\n");
    cr_assert(values.value().host.id == host_id { "k1" });
    cr_assert(values.value().host.callers == (endpoint { "127.0.0.1", 8000 }));
    cr_assert(values.value().host.advertise == values.value().host.peers);
    cr_assert(values.value().log.level == settings::log_level::Error);
    cr_assert(values.value().drain.acceptMs.count() == 0);
    cr_assert(values.value().ownership.targetLeaseMs.count() == 1500);
    cr_assert_eq(values.value().host.millicores, 1000);
    const auto small = settings::parse(replaced(valid, "id = k1", "id = k1\nprocessors = 0.1"));
    cr_assert_eq(small.value().host.millicores, 100);
}

Test(settings, each_problem_names_its_section_and_key)
{
    for (const auto& invalid : invalidFiles()) {
        const auto found = problemsOf(invalid.text);
        cr_expect(hasProblem(found, invalid.location, invalid.reason), "%s (%s) is not named",
            invalid.location.c_str(), invalid.reason.c_str());
    }
}

Test(settings, all_problems_are_reported_at_once)
{
    const auto found
        = problemsOf("[host]\nid = k1\n[limits]\nworkers = x\nconnections = 0\n[no]\n");
    for (const auto* location :
        { "[host] domain", "[host] callers", "[host] peers", "[host] admin", "[store] address",
            "[admin] token", "[limits] workers", "[limits] connections", "[no]" })
        cr_expect(hasProblem(found, location, ""), "%s is not named", location);
}

Test(settings, secrets_are_never_shown)
{
    const std::vector<std::string> files {
        replaced(valid, "token = ", "tokken = "),
        replaced(valid, "token = ", ""),
        valid + "token = " + secret + "\n",
        replaced(valid, secret, secret + " with blanks"),
    };
    for (const auto& file : files) {
        const auto outcome = settings::parse(file);
        cr_assert(!outcome);
        cr_expect(outcome.error().text().find(secret) == std::string::npos);
    }
    const auto shown = settings::describe(settings::parse(valid).value());
    cr_assert(shown.find(secret) == std::string::npos);
    cr_assert(shown.find("token = (set)") != std::string::npos);
}

Test(settings, described_settings_can_be_parsed_again)
{
    for (const auto* extraText :
        { "", "[log]\nsink = file\nfile = /var/log/p m.log\nlevel = debug\n",
            "[limits]\nworkers = 7\n[drain]\naccept_ms = 0\n" }) {
        const auto shown = settings::describe(settings::parse(valid + extraText).value());
        const auto again = settings::parse(replaced(shown, "(set)", secret));
        cr_expect(settings::describe(again.value()) == shown);
    }
}

Test(settings, percent_and_dollar_signs_are_taken_literally)
{
    const std::string token = "${host.id}-%n-0123456789";
    const auto values = settings::parse(replaced(valid, secret, token));
    cr_assert(values.value().admin.token == token);
}

Test(settings, arbitrary_text_is_accepted_or_refused_without_showing_the_secret)
{
    cr_assert(rc::check([] {
        const auto at = std::size_t(*rc::gen::inRange(0, int(valid.size())));
        const auto randomText = *rc::gen::string<std::string>();
        const auto outcome = settings::parse(valid.substr(0, at) + randomText + valid.substr(at));
        if (!outcome)
            RC_ASSERT(outcome.error().text().find(secret) == std::string::npos);
    }));
}

Test(settings, error_names_an_unreadable_file)
{
    const auto outcome = settings::load("/nowhere/pimentomast.ini");
    cr_assert(outcome.error().peer == "/nowhere/pimentomast.ini");
}

Test(settings, callers_get_at_most_half_of_the_descriptors)
{
    pimentomast::settings::limit_settings limits;
    cr_assert_eq(limits.callerConnections(), 8192);
    limits.descriptors = 4100;
    cr_assert_eq(limits.callerConnections(), 2050);
    limits.connections = 100;
    cr_assert_eq(limits.callerConnections(), 100);
}
