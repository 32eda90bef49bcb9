#include "line_writer.h"
#include "log_budget.h"
#include "pimentomast/telemetry.h"

#include <Poco/JSON/Object.h>
#include <atomic>
#include <boost/date_time/posix_time/posix_time_types.hpp>
#include <boost/date_time/posix_time/time_formatters.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <memory>
#include <sstream>

namespace pimentomast::telemetry {
namespace {

namespace logging = boost::log;
using sink = logging::sinks::synchronous_sink<detail::line_backend>;
using logger = logging::sources::severity_logger_mt<severity>;

constexpr std::string_view redacted = "(secret)";

struct shared_state {
    log_options options;
    boost::shared_ptr<detail::line_backend> lines;
    std::unique_ptr<detail::log_budget> budget;
    std::atomic<std::uint64_t> overBudget { 0 };
    logger source;
};

shared_state& state()
{
    static shared_state shared;
    return shared;
}

std::string_view nameOf(severity level)
{
    constexpr std::array<std::string_view, 4> names { "debug", "info", "warning", "error" };
    return names.at(static_cast<std::size_t>(level));
}

std::string redact(std::string text, const std::vector<std::string>& secrets)
{
    for (const auto& secret : secrets) {
        if (secret.empty())
            continue;
        for (auto at = text.find(secret); at != std::string::npos;
             at = text.find(secret, at + redacted.size()))
            text.replace(at, secret.size(), redacted);
    }
    return text;
}

/// Quotes and escapes a value unless it is a plain word, so that a value cannot inject a field or a
/// line.
std::string quote(const std::string& text)
{
    constexpr std::string_view plain
        = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/-+%";
    if (!text.empty() && text.find_first_not_of(plain) == std::string::npos)
        return text;
    std::ostringstream quoted;
    Poco::JSON::Stringifier::stringify(text, quoted);
    return quoted.str();
}

std::string textLine(std::string_view level, std::string_view event,
    const std::vector<field>& fields, const std::vector<std::string>& secrets)
{
    std::string line = "level=" + std::string(level) + " event=" + quote(std::string(event));
    for (const auto& each : fields)
        line += " " + std::string(each.key) + "=" + quote(redact(each.value, secrets));
    return line;
}

std::string jsonLine(std::string_view level, std::string_view event,
    const std::vector<field>& fields, const std::vector<std::string>& secrets)
{
    Poco::JSON::Object line(Poco::JSON_PRESERVE_KEY_ORDER);
    line.set("level", std::string(level));
    line.set("event", std::string(event));
    for (const auto& each : fields)
        line.set(std::string(each.key), redact(each.value, secrets));
    std::ostringstream text;
    line.stringify(text);
    return text.str();
}

void formatText(const logging::record_view& record, logging::formatting_ostream& out)
{
    const auto time = logging::extract<boost::posix_time::ptime>("TimeStamp", record);
    out << "time=" << boost::posix_time::to_iso_extended_string(time.get()) << "Z "
        << record[logging::expressions::smessage];
}

void formatJson(const logging::record_view& record, logging::formatting_ostream& out)
{
    const auto time = logging::extract<boost::posix_time::ptime>("TimeStamp", record);
    const auto& message = record[logging::expressions::smessage].get();
    out << "{\"time\":\"" << boost::posix_time::to_iso_extended_string(time.get()) << "Z\","
        << message.substr(1);
}

} // namespace

void setUpLog(const log_options& options)
{
    auto lines = boost::make_shared<detail::line_backend>(detail::line_writer::open(options.file));
    auto output = boost::make_shared<sink>(lines);
    if (options.json)
        output->set_formatter(&formatJson);
    else
        output->set_formatter(&formatText);
    const auto core = logging::core::get();
    core->remove_all_sinks();
    core->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
    core->add_sink(output);
    state().options = options;
    state().lines = lines;
    state().budget
        = std::make_unique<detail::log_budget>(options.linesPerSecond, options.bytesPerSecond);
}

void log(severity level, std::string_view event, const std::vector<field>& fields)
{
    auto& shared = state();
    if (level < shared.options.minSeverity)
        return;
    const auto formatLine = shared.options.json ? &jsonLine : &textLine;
    const auto line = formatLine(nameOf(level), event, fields, shared.options.secrets);
    if (shared.budget && !shared.budget->take(monotonic_clock::now(), line.size())) {
        ++shared.overBudget;
        return;
    }
    const auto dropped
        = shared.overBudget.exchange(0) + (shared.lines ? shared.lines->takeDroppedCount() : 0);
    if (dropped > 0) {
        const auto count = formatLine(nameOf(severity::Warning), "log-lines-left-out",
            { { "count", std::to_string(dropped) } }, {});
        BOOST_LOG_SEV(shared.source, severity::Warning) << count;
    }
    BOOST_LOG_SEV(shared.source, level) << line;
}

} // namespace pimentomast::telemetry
