#include "Metrics.h"

#include <fmt/format.h>

namespace shallotdrift {

namespace accumulators = boost::accumulators;

Metrics::Summary::Summary()
    : quantiles { Quantile(accumulators::quantile_probability = quantileProbabilities[0]),
        Quantile(accumulators::quantile_probability = quantileProbabilities[1]),
        Quantile(accumulators::quantile_probability = quantileProbabilities[2]) }
{
}

void Metrics::count(const std::string& name, const std::string& labels, uint64_t by)
{
    std::lock_guard lock(mutex_);
    counters_[{ name, labels }] += by;
}

void Metrics::gauge(const std::string& name, const std::string& labels, double value)
{
    std::lock_guard lock(mutex_);
    gauges_[{ name, labels }] = value;
}

void Metrics::observe(const std::string& name, const std::string& labels, Duration value)
{
    std::lock_guard lock(mutex_);
    auto& summary = summaries_[{ name, labels }];
    double seconds = std::chrono::duration<double>(value).count();
    summary.total(seconds);
    for (auto& quantile : summary.quantiles)
        quantile(seconds);
}

static std::string braced(const std::string& labels) { return labels.empty() ? std::string() : "{" + labels + "}"; }

static std::string typeLine(std::string& previous, const std::string& name, const char* type)
{
    if (previous == name)
        return {};
    previous = name;
    return fmt::format("# TYPE shallotdrift_{} {}\n", name, type);
}

std::string Metrics::render() const
{
    std::lock_guard lock(mutex_);
    std::string text;
    std::string previous;
    for (const auto& [key, value] : counters_) {
        text += typeLine(previous, key.first, "counter");
        text += fmt::format("shallotdrift_{}{} {}\n", key.first, braced(key.second), value);
    }
    for (const auto& [key, value] : gauges_) {
        text += typeLine(previous, key.first, "gauge");
        text += fmt::format("shallotdrift_{}{} {}\n", key.first, braced(key.second), value);
    }
    for (const auto& [key, summary] : summaries_) {
        text += typeLine(previous, key.first, "summary");
        for (size_t i = 0; i < quantileProbabilities.size(); ++i) {
            auto labels = fmt::format(
                "{}{}quantile=\"{}\"", key.second, key.second.empty() ? "" : ",", quantileProbabilities[i]);
            text += fmt::format(
                "shallotdrift_{}{{{}}} {}\n", key.first, labels, accumulators::p_square_quantile(summary.quantiles[i]));
        }
        text += fmt::format(
            "shallotdrift_{}_sum{} {}\n", key.first, braced(key.second), accumulators::sum(summary.total));
        text += fmt::format(
            "shallotdrift_{}_count{} {}\n", key.first, braced(key.second), accumulators::count(summary.total));
    }
    return text;
}

} // namespace shallotdrift
