#include "documents.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::platform::detail;
using namespace std::chrono_literals;

namespace {

const std::string service
    = R"({"type":"services","metadata":{"name":"weights"},"spec":)"
      R"({"healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false,)"
      R"("sharded":true,"warm":"3s","grants":"rpc"}})";
const std::string plainService = R"({"type":"services","metadata":{"name":"sales"},"spec":)"
                                 R"({"healthPath":"/healthz","maxConns":90}})";
const std::string limits
    = R"({"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,)"
      R"("maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15s"}})";

std::string route(const std::string& rest)
{
    return R"({"type":"routes","metadata":{"name":"r1"},"spec":{"host":"a.example",)"
           R"("prefix":"/w/","timeout":"0.8s","slo":"300ms","priority":2,"attempts":2,)"
        + rest + "}}";
}

std::string document(const std::string& routeText)
{
    return R"({"version":"0000000c","resources":[)" + routeText + "," + service + "," + plainService
        + "," + limits + "]}";
}

const std::string validConfiguration
    = document(route(R"("kind":"idempotent","service":"weights")"));

std::string replaced(std::string text, const std::string& what, const std::string& replacement)
{
    const auto at = text.find(what);
    cr_assert(at != std::string::npos, "%s is not in the document", what.c_str());
    return text.replace(at, what.size(), replacement);
}

/// Routes of the largest configuration that is known from the platform.
constexpr unsigned routeCount = 1640;

/// Returns a configuration of many routes and two services; one route's host is the given name.
std::string manyRoutes(const std::string& host)
{
    const auto plain = route(R"("kind":"idempotent","service":"weights")");
    std::string list = service + "," + plainService;
    for (unsigned i = 0; i < routeCount; ++i)
        list += "," + replaced(plain, "/w/", "/w" + std::to_string(i) + "/");
    auto whole = R"({"version":"0000000c","resources":[)" + list + "]}";
    return host.empty() ? whole : replaced(whole, "a.example", host + ".example");
}

const std::string validRegistration
    = R"({"address":"10.128.0.9:8080","born":1790000000000,"info":{"service":)"
      R"("weights","version":"v1","zone":"k","capacity":4},"status":{"state":)"
      R"("ready","seq":4,"warmup_time":"0ms"}})";

} // namespace

Test(platform_documents, configuration_is_decoded_with_units)
{
    const auto read = readConfiguration(validConfiguration);
    cr_assert(read.has_value(), "%s", read.has_error() ? read.error().text().c_str() : "");
    const auto& all = read.value();
    cr_assert(all.version == config_version { 12 });
    cr_assert(all.routes.size() == 1 && all.services.size() == 2);
    cr_assert(all.routes[0].timeout.count() == 800);
    cr_assert(all.routes[0].objective.count() == 300);
    cr_assert(all.routes[0].repeatable && all.routes[0].maxAttempts == 2);
    cr_assert(all.services[0].keyed() && all.services[0].keyForm == table::key_form::Number);
    cr_assert(!all.services[1].keyed());
    cr_assert(all.limits.idleTimeout.count() == 15000);
    cr_assert(all.connections.at(service_id { "sales" }) == 90);
}

Test(platform_documents, kind_determines_whether_a_request_is_repeatable)
{
    const auto kindOf = [](const std::string& kind) {
        return readConfiguration(document(route(R"("kind":")" + kind + R"(","service":"sales")")));
    };
    cr_assert(kindOf("download").value().routes[0].repeatable);
    cr_assert(!kindOf("non_idempotent").value().routes[0].repeatable);
    cr_assert(!kindOf("upload").value().routes[0].repeatable);
    cr_assert(kindOf("sometimes").has_error());
}

// One route of an unknown kind refuses the whole configuration, so a host would serve nothing.
Test(platform_documents, uploads_are_accepted_and_have_their_bodies_buffered)
{
    const auto read = readConfiguration(document(route(R"("kind":"upload","service":"sales")")));
    cr_assert(read.has_value());
    cr_assert(read.value().routes[0].buffersBody);
    const auto other
        = readConfiguration(document(route(R"("kind":"non_idempotent","service":"sales")")));
    cr_assert(!other.value().routes[0].buffersBody);
}

Test(platform_documents, weighted_parts_are_read_and_zero_weights_ignored)
{
    const auto read = readConfiguration(
        document(route(R"("kind":"download","backends":[)"
                       R"({"service":"weights","weight":90},{"service":"sales","weight":10},)"
                       R"({"service":"sales","weight":0}])")));
    cr_assert(read.value().routes[0].parts.size() == 2);
    cr_assert(read.value().routes[0].parts[1].weight == 10);
}

Test(platform_documents, invalid_configurations_are_rejected)
{
    for (const auto& invalid : { validConfiguration.substr(0, validConfiguration.size() / 2),
             replaced(validConfiguration, R"("service":"weights")", R"("service":"nobody")"),
             replaced(validConfiguration, R"("timeout":"0.8s")", R"("timeout":"-1ms")"),
             replaced(validConfiguration, R"("timeout":"0.8s",)", ""),
             replaced(validConfiguration, R"("attempts":2)", R"("attempts":0)"),
             replaced(validConfiguration, R"("attempts":2)", R"("attempts":"two")"),
             replaced(validConfiguration, R"("host":"a.example")", R"("host":"")"),
             replaced(validConfiguration, R"("priority":2)", R"("priority":-1)"),
             std::string("[]") })
        cr_expect(readConfiguration(invalid).has_error(), "%s", invalid.c_str());
}

Test(platform_documents, deeply_nested_configurations_are_rejected)
{
    for (const std::size_t depth : { 1000, 1'000'000 }) {
        const auto nested = std::string(depth, '[') + std::string(depth, ']');
        const auto odd = R"({"x":)" + nested + "," + validConfiguration.substr(1);
        cr_expect(readConfiguration(odd).has_error(), "%zu", depth);
    }
}

Test(platform_documents, edit_of_one_route_decodes_one_route)
{
    configuration_reader reader;
    cr_assert(reader.read(manyRoutes("")).has_value());
    cr_assert(reader.decoded() == routeCount + 2);
    const auto edited = manyRoutes("edited");
    const auto read = reader.read(edited);
    cr_assert(read.has_value(), "%s", read.has_error() ? read.error().text().c_str() : "");
    cr_assert(reader.decoded() == 1);
    cr_assert(read.value().routes == readConfiguration(edited).value().routes);
    cr_assert(read.value().services == readConfiguration(edited).value().services);
}

Test(platform_documents, refused_version_leaves_the_known_resources)
{
    configuration_reader reader;
    cr_assert(reader.read(manyRoutes("")).has_value());
    cr_assert(reader.read(replaced(manyRoutes(""), "weights", "")).has_error());
    cr_assert(reader.read(manyRoutes("edited")).has_value());
    cr_assert(reader.decoded() == 1);
}

Test(platform_documents, resources_of_older_versions_are_not_kept)
{
    configuration_reader reader;
    cr_assert(reader.read(manyRoutes("")).has_value());
    cr_assert(reader.read(manyRoutes("edited")).has_value());
    cr_assert(reader.read(manyRoutes("")).has_value());
    cr_assert(reader.decoded() == 1);
}

Test(platform_documents, space_and_signs_in_texts_do_not_divide_resources)
{
    const auto odd = R"({ "note" : ["\"resources\":[", {"resources":[1]}], "resources"  : [ )"
        + service + " , \n" + route(R"("note":"]},{\"\\","kind":"download","service":"weights")")
        + R"( ] , "version" : "0000000c" } )";
    const auto read = readConfiguration(odd);
    cr_assert(read.has_value(), "%s", read.has_error() ? read.error().text().c_str() : "");
    cr_assert(read.value().routes.size() == 1 && read.value().services.size() == 1);
    cr_assert(read.value().version == config_version { 12 });
}

Test(platform_documents, broken_lists_of_resources_are_rejected)
{
    const auto list = service + "," + route(R"("kind":"download","service":"weights")");
    const auto with = [](const std::string& resources) {
        return R"({"version":"0000000c","resources":)" + resources + "}";
    };
    cr_assert(readConfiguration(with("[" + list + "]")).has_value());
    for (const auto& broken : { with("[" + list + ",]"), with("[" + list + " 1]"),
             with("[" + list + "," + "null]"), with("[" + list + "}]"), with("[" + list + "]]"),
             with("[" + list + "]") + "{}", with("[" + list + "],\"resources\":[]"),
             with("[" + list.substr(0, list.size() - 1) + "]]"), with("{" + list + "}"),
             with("[" + list + ",{\"type\":\"x]"), with("[" + list), with(""), with("3"),
             with("[]"), "[" + with("[" + list + "]") + "]", with("[" + list + "\\u0000]") })
        cr_expect(readConfiguration(broken).has_error(), "%s", broken.c_str());
}

Test(platform_documents, registrations_are_decoded_and_invalid_ones_rejected)
{
    const auto read = readRegistration("i-1", validRegistration).value();
    cr_assert(read.address == (endpoint { "10.128.0.9", 8080 }));
    cr_assert(read.slots == 4 && !read.draining);
    cr_assert(read.started == incarnation { 1790000000000 });
    cr_assert(
        readRegistration("i-1", replaced(validRegistration, "ready", "draining")).value().draining);
    for (const auto& invalid : { replaced(validRegistration, "ready", "resting"),
             replaced(validRegistration, R"("capacity":4)", R"("capacity":"4")"),
             replaced(validRegistration, R"("service":"weights",)", ""), std::string("\x01\x02"),
             replaced(validRegistration, "10.128.0.9:8080", "somewhere") })
        cr_expect(readRegistration("i-1", invalid).has_error(), "%s", invalid.c_str());
}

Test(platform_documents, odd_registrations_are_rejected_without_a_look_up_of_names)
{
    const auto withAddress = [](const std::string& address) {
        return replaced(validRegistration, "10.128.0.9:8080", address);
    };
    const auto withSlots = [](const std::string& number) {
        return replaced(validRegistration, R"("capacity":4)", R"("capacity":)" + number);
    };
    const auto nested = [](std::size_t depth) {
        return R"({"x":)" + std::string(depth, '[') + std::string(depth, ']') + ","
            + validRegistration.substr(1);
    };
    for (const auto& odd : { withAddress("10.128.0.9:70000"), withAddress("10.128.0.9:0"),
             withAddress("10.128.0.9:-1"), withAddress("10.128.0.9:99999999999999999999"),
             withAddress("10.128.0.9:http"), withAddress("localhost:8080"),
             withAddress("10.128.0.9"), withAddress(":8080"), withAddress("[::1]:8080"),
             withSlots("0"), withSlots("4294967296"), withSlots("1e999"),
             withSlots("99999999999999999999999"), withSlots("-1"), withSlots("[[[[]]]]"),
             nested(1000), nested(1'000'000) }) {
        const auto read = readRegistration("i-1", odd);
        cr_expect(read.has_error(), "%s", odd.substr(0, 200).c_str());
    }
}

Test(platform_documents, processes_with_the_same_name_are_different_targets)
{
    const auto configured = readConfiguration(validConfiguration).value();
    const auto first = readRegistration("i-1", validRegistration).value();
    const auto second
        = readRegistration("i-1", replaced(validRegistration, "1790000000000", "1790000000001"));
    const auto before = makeTable(config_version { 1 }, configured, { first });
    const auto after = makeTable(config_version { 2 }, configured, { second.value() });
    cr_assert(before.targets.size() == 1 && after.targets.size() == 1);
    cr_assert(before.targets[0].id != after.targets[0].id);
    cr_assert(before.targets[0].instance == after.targets[0].instance);
    cr_assert(before.targets[0].connections == 130);
}

Test(platform_documents, grace_is_read_from_the_bounds)
{
    cr_assert(stopGrace("seedLag=3s,drain=2000ms,grace=6s,thaw=300ms") == std::chrono::seconds(6));
    cr_assert(stopGrace("grace=2500ms") == std::chrono::milliseconds(2500));
    cr_assert(stopGrace(R"({"drain":"2500ms","grace":"6s","budgetRatio":0.2})")
        == std::chrono::seconds(6));
    for (const auto* terms : { "", "seedLag=3s", "grace=", "grace=6", "grace=-1s", "grace=inf s",
             R"({"drain":"2s"})", R"({"grace":6})", R"({"grace":)", R"({"grace":"-1s"})" })
        cr_assert(stopGrace(terms) == duration::zero(), "%s", terms);
}

namespace {

constexpr instant now { 1000s };
const std::string limitedConfiguration = replaced(
    validConfiguration, R"("healthPath")", R"("warmup":"3s","warmupPerS":5.0,"healthPath")");

/// Returns the row of the one target, whose service limits cold targets.
table::target_row rowOf(const registration& target, const reopened_domains& reopened = {})
{
    const auto configured = readConfiguration(limitedConfiguration).value();
    return makeTable(config_version { 1 }, configured, { target }, { {}, reopened, {} }).targets[0];
}

} // namespace

Test(platform_documents, limit_of_cold_targets_is_read_and_extended_by_the_bounds)
{
    const auto configured = readConfiguration(limitedConfiguration).value();
    cr_assert(configured.services[0].warmup.has_value());
    const table_circumstances circumstances { {}, {}, { 1.5, 8 } };
    const auto rows = makeTable(config_version { 1 }, configured, {}, circumstances);
    const auto* limited = rows.service(service_id { "weights" });
    cr_assert(limited->warmup->time == 3s);
    cr_assert_float_eq(limited->warmup->requestsPerSecond, 15.5, 1e-9);
}

Test(platform_documents, service_that_states_no_rate_or_no_time_has_no_limit)
{
    for (const std::string fields : { "", R"("warmup":"3s",)", R"("warmupPerS":5,)",
             R"("warmup":"0ms","warmupPerS":5,)", R"("warmup":"3s","warmupPerS":0,)" }) {
        const auto read = readConfiguration(
            replaced(validConfiguration, R"("healthPath")", fields + R"("healthPath")"));
        cr_assert(read.has_value(), "%s", fields.c_str());
        cr_expect_not(read.value().services[0].warmup.has_value(), "%s", fields.c_str());
    }
}

Test(platform_documents, invalid_limits_of_cold_targets_are_rejected)
{
    for (const std::string fields : { R"("warmup":3,)", R"("warmup":"soon",)", R"("warmup":"-1s",)",
             R"("warmupPerS":"5",)", R"("warmupPerS":-1,)", R"("warmupPerS":true,)",
             R"("warmupPerS":1e300,)", R"("warmupPerS":null,)" })
        cr_expect(readConfiguration(
                      replaced(validConfiguration, R"("healthPath")", fields + R"("healthPath")"))
                      .has_error(),
            "%s", fields.c_str());
}

Test(platform_documents, bounds_of_cold_targets_are_read)
{
    for (const std::string terms : { "grace=6s, coldOver=1.5,coldSlack=8,evac=5000ms",
             R"({"coldOver":1.5,"coldSlack":8})", R"({"coldOver":"1.5","coldSlack":"8"})" }) {
        const auto bounds = warmupBounds(terms);
        cr_expect_float_eq(bounds.over, 1.5, 1e-9, "%s", terms.c_str());
        cr_expect_float_eq(bounds.slack, 8, 1e-9, "%s", terms.c_str());
    }
    // A limit that is too high would let a target crash.
    for (const std::string terms :
        { "", "{}", "{", "evac=5000ms", "coldOver=x,coldSlack=-8", "coldOver=0.5,coldSlack=nan",
            R"({"coldOver":true,"coldSlack":[8]})", R"({"note":"x,coldOver=9,coldSlack=9"})" }) {
        const auto bounds = warmupBounds(terms);
        cr_expect_float_eq(bounds.over, 1, 1e-9, "%s", terms.c_str());
        cr_expect_float_eq(bounds.slack, 0, 1e-9, "%s", terms.c_str());
    }
}

Test(platform_documents, remaining_warmup_time_is_read)
{
    const auto read = [](const std::string& text) {
        return readRegistration("i-1", replaced(validRegistration, R"("0ms")", text));
    };
    cr_assert(read(R"("1500ms")").value().coldFor == 1500ms);
    cr_assert(read(R"("2s")").value().coldFor == 2s);
    cr_assert(read(R"("0ms")").value().coldFor == 0ms);
    const auto silent = replaced(validRegistration, R"(,"warmup_time":"0ms")", "");
    cr_assert_not(readRegistration("i-1", silent).value().coldFor.has_value());
    for (const std::string invalid : { R"("soon")", R"("-1s")", R"("3")", "3", "null", R"("")" })
        cr_expect(read(invalid).has_error(), "%s", invalid.c_str());
}

Test(platform_documents, target_is_cold_only_if_its_service_limits_cold_targets)
{
    auto target = readRegistration("i-1", validRegistration).value();
    target.coldUntil = now + 2s;
    cr_assert(rowOf(target).coldUntil == now + 2s);
    const auto unlimited = readConfiguration(validConfiguration).value();
    const auto rows = makeTable(config_version { 1 }, unlimited, { target });
    cr_assert_not(rows.targets[0].coldUntil.has_value());
    target.coldUntil.reset();
    target.newSince = now;
    cr_assert(rowOf(target).coldUntil == now + 3s);
}

// The targets of a domain that is taken back may be cold, and old rows do not tell.
Test(platform_documents, target_is_cold_after_an_evacuation_unless_a_newer_row_says_otherwise)
{
    auto target = readRegistration("i-1", validRegistration).value();
    target.version = 9;
    const reopened_domains here { { domain_id { "k" }, { now, 10 } } };
    const reopened_domains elsewhere { { domain_id { "north" }, { now, 10 } } };
    cr_assert(rowOf(target, here).coldUntil == now + 3s);
    cr_assert_not(rowOf(target, elsewhere).coldUntil.has_value());
    target.coldUntil = now + 5s;
    cr_assert(rowOf(target, here).coldUntil == now + 5s);
    target.coldUntil.reset();
    target.version = 11;
    cr_assert_not(rowOf(target, here).coldUntil.has_value());
    target.coldFor.reset();
    cr_assert(rowOf(target, here).coldUntil == now + 3s, "the newer row says nothing");
}
