#include "pimentomast/telemetry.h"

#include "helper.h"
#include "telemetry/log_budget.h"

#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <sstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace pimentomast;
using telemetry::metric;

namespace {

std::string readAll(const std::string& path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

std::string logAndRead(const telemetry::log_options& options, const std::string& value)
{
    telemetry::setUpLog(options);
    telemetry::log(telemetry::severity::Debug, "hidden");
    telemetry::log(telemetry::severity::Warning, "host_leaving", { { "host", value } });
    return readAll(options.file);
}

telemetry::log_options fileLogOptions()
{
    telemetry::log_options options;
    options.file = test::scratchFolder() + "/log";
    options.secrets = { "correct-horse" };
    return options;
}

} // namespace

Test(telemetry, concurrent_increments_are_all_counted)
{
    telemetry::registry metrics;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&] {
            for (int step = 0; step < 10000; ++step)
                metrics.counterFor(metric::Refusals, "queue-full").add();
        });
    }
    for (auto& thread : threads)
        thread.join();
    cr_assert(metrics.counterFor(metric::Refusals, "queue-full").value() == 40000);
}

Test(telemetry, exposition_has_every_family_and_escapes_labels)
{
    telemetry::registry metrics;
    metrics.counterFor(metric::Requests, "we\"ights\n").add(3);
    metrics.gaugeFor(metric::ConfigVersion).set(7);
    metrics.latencyFor(metric::ResponseTime, "ledger").observe(std::chrono::milliseconds(250));
    const auto text = metrics.exposition();
    for (const auto& family : telemetry::families())
        cr_expect(text.find("# TYPE " + std::string(family.name) + " ") != std::string::npos);
    for (const auto* line : { "pimentomast_requests_total{service=\"we\\\"ights\\n\"} 3\n",
             "pimentomast_config_version 7\n",
             "pimentomast_response_seconds{service=\"ledger\",quantile=\"0.99\"} 0.250000\n",
             "pimentomast_response_seconds_count{service=\"ledger\"} 1\n" })
        cr_expect(text.find(line) != std::string::npos, "%s is missing in %s", line, text.c_str());
}

Test(telemetry, families_follow_the_order_of_the_enumeration)
{
    std::size_t index = 0;
    for (const auto& family : telemetry::families())
        cr_assert(static_cast<std::size_t>(family.id) == index++);
    cr_assert(static_cast<std::size_t>(metric::AdminRequests) + 1 == index);
}

Test(telemetry, label_values_are_bounded)
{
    telemetry::registry metrics;
    for (int label = 0; label < 5000; ++label)
        metrics.counterFor(metric::Requests, std::to_string(label)).add();
    cr_assert(metrics.counterFor(metric::Requests, "other").value() == 4000);
}

Test(telemetry, metric_of_another_kind_is_refused)
{
    telemetry::registry metrics;
    bool thrown = false;
    try {
        (void)metrics.gaugeFor(metric::Requests);
    } catch (const std::logic_error&) {
        thrown = true;
    }
    cr_assert(thrown);
}

Test(telemetry, quantiles_agree_with_a_sorted_list)
{
    for (const std::size_t count : { std::size_t(1), std::size_t(20), std::size_t(1000),
             std::size_t(100000), std::size_t(150000) }) {
        std::mt19937 random(20261204);
        std::lognormal_distribution<double> times(5, 1.5);
        telemetry::latency measured;
        std::vector<std::int64_t> sorted;
        for (std::size_t step = 0; step < count; ++step) {
            const auto microseconds = std::int64_t(times(random)) + 1;
            if (step < 100000)
                sorted.push_back(microseconds);
            measured.observe(std::chrono::microseconds(microseconds));
        }
        std::sort(sorted.begin(), sorted.end());
        const auto exactQuantile = [&](double probability) {
            return double(sorted[std::size_t(std::ceil(probability * double(sorted.size()))) - 1])
                / 1e6;
        };
        const auto summary = measured.summary();
        cr_expect(summary.count == count);
        cr_expect(std::abs(summary.p99Seconds / exactQuantile(0.99) - 1) < 1e-9,
            "p99 of %zu: %f, %f", count, summary.p99Seconds, exactQuantile(0.99));
        const double tolerance = count <= 1024 ? 1e-9 : 0.02;
        cr_expect(std::abs(summary.p50Seconds / exactQuantile(0.5) - 1) < tolerance,
            "p50 of %zu: %f, %f", count, summary.p50Seconds, exactQuantile(0.5));
    }
}

Test(telemetry, log_lines_are_fields_without_the_secret)
{
    const auto text = logAndRead(fileLogOptions(), "h 1\nevent=forged \xff correct-horse");
    cr_assert(text.starts_with("time="), "%s", text.c_str());
    cr_assert(std::count(text.begin(), text.end(), '\n') == 1, "%s", text.c_str());
    cr_assert(text.find(" level=warning event=host_leaving host=\"h 1\\nevent=forged")
            != std::string::npos,
        "%s", text.c_str());
    cr_assert(text.find("(secret)") != std::string::npos);
    cr_assert(text.find("correct-horse") == std::string::npos);
}

Test(telemetry, log_lines_can_be_json)
{
    auto options = fileLogOptions();
    options.json = true;
    const auto text = logAndRead(options, "correct-horse\"");
    const auto line = Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
    cr_assert(line->getValue<std::string>("event") == "host_leaving");
    cr_assert(line->getValue<std::string>("host") == "(secret)\"");
    cr_assert(line->getValue<std::string>("time").ends_with("Z"));
}

Test(telemetry, lines_beyond_the_rate_are_only_counted)
{
    auto options = fileLogOptions();
    options.linesPerSecond = 20;
    telemetry::setUpLog(options);
    constexpr std::ptrdiff_t lines = 1000;
    const auto began = monotonic_clock::now();
    for (std::ptrdiff_t i = 0; i < lines; ++i)
        telemetry::log(telemetry::severity::Warning, "decision");
    const auto took = std::chrono::ceil<std::chrono::seconds>(monotonic_clock::now() - began);
    const auto countLines
        = [&](const std::string& text) { return std::count(text.begin(), text.end(), '\n'); };
    const auto most = 20 * (5 + took.count());
    const auto written = countLines(readAll(options.file));
    cr_assert(
        written > 0 && written <= most, "%td lines in %jd s", written, std::intmax_t(took.count()));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    telemetry::log(telemetry::severity::Info, "decision");
    cr_assert(readAll(options.file).find("event=log-lines-left-out") != std::string::npos);
}

Test(telemetry, budget_of_the_log_bounds_bytes_too)
{
    telemetry::detail::log_budget budget(0, 1000);
    const instant start { std::chrono::seconds(100) };
    const auto takeAll = [&](instant now) {
        int lines = 0;
        while (lines < 1000 && budget.take(now, 100))
            ++lines;
        return lines;
    };
    cr_assert_eq(takeAll(start), 50);
    cr_assert_eq(takeAll(start), 0);
    cr_assert_eq(takeAll(start + std::chrono::seconds(1)), 10);
    cr_assert_eq(takeAll(start + std::chrono::seconds(60)), 50);
    telemetry::detail::log_budget unbounded(0, 0);
    cr_assert(unbounded.take(start, 1 << 20) && unbounded.take(start, 1 << 20));
}

// The reader of the pipe reads nothing until its buffer (64 KB) is full. log() must then drop lines
// instead of blocking, and later report how many it dropped.
Test(telemetry, log_drops_lines_when_the_pipe_is_full)
{
    const auto path = test::scratchFolder() + "/pipe";
    cr_assert(mkfifo(path.c_str(), 0600) == 0);
    const int reader = open(path.c_str(), O_RDONLY | O_NONBLOCK);
    telemetry::log_options options;
    options.file = path;
    telemetry::setUpLog(options);
    constexpr int lines = 2000;
    for (int i = 0; i < lines; ++i)
        telemetry::log(
            telemetry::severity::Info, "decision", { { "text", std::string(100, 'x') } });

    std::string text(1 << 20, '\0');
    const auto bytesRead = read(reader, text.data(), text.size());
    const auto written = std::count(text.begin(), text.begin() + bytesRead, '\n');
    cr_assert(written > 0 && written < lines);
    telemetry::log(telemetry::severity::Info, "decision");
    const auto moreBytes = read(reader, text.data(), text.size());
    const std::string count = "event=log-lines-left-out count=" + std::to_string(lines - written);
    cr_assert(text.substr(0, static_cast<std::size_t>(moreBytes)).find(count) != std::string::npos);
}
