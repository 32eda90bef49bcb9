#include "speed.h"

#include <algorithm>
#include <cmath>

namespace pimentomast::serve::detail {
namespace {

constexpr std::chrono::seconds roundS { 1 };
/// Time after which a sample counts half. At 5 answers per second, some 70 are counted, whose mean
/// varies little.
constexpr std::chrono::seconds sampleHalfLifeS { 10 };
/// Number of answers at which a factor is half of what they show, on a logarithmic scale.
constexpr double priorAnswers = 10;
/// Number of answers that the factors of the preceding collector count as.
constexpr double takenOverAnswers = 40;
/// Largest change of a factor in a round. The measured times contain the wait in the target's
/// queue, which follows the load with a delay of a second or more.
constexpr double maxStep = 1.08;
/// A rejected request counts as an answer that took this many times as long as usual: the slots
/// and the queue were full.
constexpr double rejectionTimes = 4;
/// Steps of the encoded factor that are worth a message: 3 of them are 3 %.
constexpr int noticeableSteps = 3;
/// Time after which unchanged factors are sent again, for hosts that missed the last message.
constexpr std::chrono::seconds resendS { 5 };
/// Age from which received factors decay, and the half-life of their decay. Several messages may
/// be lost before that.
constexpr std::chrono::seconds factorAgeS { 15 };
constexpr std::chrono::seconds factorHalfLifeS { 10 };
constexpr double stepsPerDoubling = 64;
constexpr double usualStep = 128;
constexpr double highestStep = 255;
/// Ratio of the shared factor to the one used in placement above which the latter follows.
constexpr double placementStep = 1.15;
/// Bounds of the factors used in placement: a target with a hot key looks slow only because of the
/// load, and its other keys must not all leave.
constexpr double placementMin = 0.5;
constexpr double placementMax = 2;

double halvings(duration elapsed, duration halfLife)
{
    return std::exp2(-static_cast<double>(elapsed.count()) / static_cast<double>(halfLife.count()));
}

double seconds(duration span) { return std::chrono::duration<double>(span).count(); }

std::uint8_t encodedIn(const hashed_factors& factors, target_hash target)
{
    const auto found = factors.find(target);
    return encodeFactor(found == factors.end() ? 1 : found->second);
}

bool differsNoticeably(const hashed_factors& one, const hashed_factors& other)
{
    return std::any_of(one.begin(), one.end(), [&](const auto& each) {
        const int difference = encodeFactor(each.second) - encodedIn(other, each.first);
        return std::abs(difference) >= noticeableSteps;
    });
}

} // namespace

target_hash hashOf(const target_id& id) noexcept
{
    return target_hash { static_cast<std::uint32_t>(hashKey(id.value()).value()) };
}

std::uint8_t encodeFactor(double factor) noexcept
{
    const double step = usualStep + stepsPerDoubling * std::log2(factor);
    return static_cast<std::uint8_t>(std::lround(std::clamp(step, 0.0, highestStep)));
}

double decodeFactor(std::uint8_t encoded) noexcept
{
    return std::exp2((encoded - usualStep) / stepsPerDoubling);
}

void speed_estimator::setTargets(const std::map<target_hash, service_id>& targets)
{
    std::erase_if(m_estimates, [&](const auto& each) { return !targets.contains(each.first); });
    for (const auto& [target, service] : targets)
        m_estimates[target].service = service;
}

void speed_estimator::restart(instant now, const hashed_factors& factors)
{
    m_updated = now;
    for (auto& [target, each] : m_estimates) {
        const auto known = factors.find(target);
        const double start = known == factors.end() ? 0 : std::log(known->second);
        each = { each.service, 0, 0, 0, start, takenOverAnswers, start };
    }
}

void speed_estimator::add(const std::vector<hashed_sample>& samples)
{
    for (const auto& sample : samples) {
        const auto found = m_estimates.find(sample.target);
        if (found == m_estimates.end())
            continue;
        found->second.answers += static_cast<double>(sample.answers);
        found->second.seconds += seconds(sample.total);
        found->second.rejections += static_cast<double>(sample.rejections);
    }
}

void speed_estimator::decay(duration elapsed)
{
    const double kept = halvings(elapsed, sampleHalfLifeS);
    for (auto& [target, each] : m_estimates) {
        each.answers *= kept;
        each.seconds *= kept;
        each.rejections *= kept;
        each.earlierAnswers *= kept;
    }
}

std::map<service_id, double> speed_estimator::typicalTimes() const
{
    std::map<service_id, std::vector<double>> times;
    for (const auto& [target, each] : m_estimates)
        if (each.answers >= 1 && each.seconds > 0)
            times[each.service].push_back(each.seconds / each.answers);
    std::map<service_id, double> medians;
    for (auto& [service, all] : times) {
        const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
        std::nth_element(all.begin(), middle, all.end());
        medians[service] = *middle;
    }
    return medians;
}

double speed_estimator::shownBy(const estimate& one, double typicalTime)
{
    const double counted = one.answers + one.rejections;
    double shown = 0;
    if (counted > 0 && typicalTime > 0) {
        const double mean = (one.seconds + one.rejections * rejectionTimes * typicalTime) / counted;
        shown = std::log(
            std::clamp(typicalTime / std::max(mean, 1e-6), speedFactorMin, speedFactorMax));
    }
    return (counted * shown + one.earlierAnswers * one.earlier)
        / (counted + one.earlierAnswers + priorAnswers);
}

void speed_estimator::update(instant now)
{
    decay(now - m_updated);
    m_updated = now;
    const auto typical = typicalTimes();
    const double step = std::log(maxStep);
    for (auto& [target, each] : m_estimates) {
        const auto found = typical.find(each.service);
        const double shown = shownBy(each, found == typical.end() ? 0 : found->second);
        each.factor += std::clamp(shown - each.factor, -step, step);
    }
}

hashed_factors speed_estimator::factors() const
{
    hashed_factors all;
    for (const auto& [target, each] : m_estimates) {
        const auto encoded = encodeFactor(std::exp(each.factor));
        if (encoded != encodeFactor(1))
            all.emplace(target, decodeFactor(encoded));
    }
    return all;
}

shared_speed::shared_speed(host_id self, incarnation run)
    : m_self(std::move(self))
    , m_run(run)
{
}

void shared_speed::applyTable(const table::table& rows)
{
    m_targets.clear();
    std::map<target_hash, service_id> services;
    for (const auto& row : rows.targets) {
        const auto hash = hashOf(row.id);
        m_targets.emplace(row.id, hash);
        services.emplace(hash, row.service);
    }
    m_estimator.setTargets(services);
}

bool shared_speed::setCollector(instant now, const host_id& collector)
{
    if (collector == m_collector)
        return false;
    const auto known = factors(now);
    const bool collected = collects();
    m_collector = collector;
    if (collects()) {
        m_estimator.restart(now, known);
        ++m_term;
        m_number = 0;
        m_sent.clear();
        m_sentAt = {};
        m_nextRound = now + roundS;
    } else if (collected) {
        m_received.factors = known;
        m_receivedAt = now;
    }
    return true;
}

void shared_speed::add(const std::vector<hashed_sample>& samples)
{
    if (collects())
        m_estimator.add(samples);
}

std::optional<speed_message> shared_speed::tick(instant now)
{
    if (!collects() || now < m_nextRound)
        return std::nullopt;
    m_nextRound = now + roundS;
    m_estimator.update(now);
    const auto current = m_estimator.factors();
    if (!isWorthSending(now, current))
        return std::nullopt;
    m_sent = current;
    m_sentAt = now;
    return speed_message { m_self, m_run, m_term, ++m_number, current };
}

bool shared_speed::isWorthSending(instant now, const hashed_factors& current) const
{
    if (differsNoticeably(current, m_sent) || differsNoticeably(m_sent, current))
        return true;
    return !current.empty() && now - m_sentAt >= resendS;
}

bool shared_speed::receive(instant now, const speed_message& message)
{
    const bool isNewer = message.term > m_term;
    const bool isExpected = message.host == m_collector;
    const bool isLate = message.host == m_received.host && message.run == m_received.run
        && std::pair(message.term, message.number) <= std::pair(m_received.term, m_received.number);
    // A host that collects itself only makes sure that its next term is the newest.
    if (message.host != m_self)
        m_term = std::max(m_term, message.term);
    if (collects() || isLate || (!isExpected && !isNewer))
        return false;
    m_received = message;
    m_receivedAt = now;
    return true;
}

hashed_factors shared_speed::factors(instant now) const
{
    if (collects())
        return m_estimator.factors();
    auto all = m_received.factors;
    const duration age = now - m_receivedAt;
    if (age <= factorAgeS)
        return all;
    const double kept = halvings(age - factorAgeS, factorHalfLifeS);
    for (auto& [target, factor] : all)
        factor = std::pow(factor, kept);
    std::erase_if(
        all, [](const auto& each) { return encodeFactor(each.second) == encodeFactor(1); });
    return all;
}

routing::speed_factors shared_speed::factorsByTarget(instant now) const
{
    const auto hashed = factors(now);
    routing::speed_factors all;
    for (const auto& [target, hash] : m_targets) {
        const auto found = hashed.find(hash);
        if (found != hashed.end())
            all.emplace(target, found->second);
    }
    return all;
}

void placement_factors::update(const routing::speed_factors& shared)
{
    routing::speed_factors targets = m_used;
    targets.insert(shared.begin(), shared.end());
    for (const auto& [target, unused] : targets) {
        const auto found = shared.find(target);
        const double current
            = std::clamp(found == shared.end() ? 1.0 : found->second, placementMin, placementMax);
        const double ratio = current / of(target);
        if (ratio > placementStep || ratio < 1 / placementStep)
            m_used[target] = current;
    }
    // A target's id is new after each of its restarts.
    std::erase_if(m_used, [&](const auto& each) {
        return !shared.contains(each.first) && each.second > 1 / placementStep
            && each.second < placementStep;
    });
}

double placement_factors::of(const target_id& target) const
{
    const auto found = m_used.find(target);
    return found == m_used.end() ? 1 : found->second;
}

} // namespace pimentomast::serve::detail
