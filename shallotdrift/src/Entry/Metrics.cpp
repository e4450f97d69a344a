#include "Metrics.h"

#include <array>
#include <fmt/format.h>

namespace shallotdrift {

static constexpr std::array<double, 3> quantiles { 0.5, 0.9, 0.99 };

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
    Key key { name, labels };
    auto position = summaries_.find(key);
    if (position == summaries_.end())
        position = summaries_.emplace(key, Summary(boost::accumulators::extended_p_square_probabilities = quantiles)).first;
    position->second(std::chrono::duration<double>(value).count());
}

static std::string braced(const std::string& labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

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
        for (double quantile : quantiles) {
            auto labels = fmt::format("{}{}quantile=\"{}\"", key.second, key.second.empty() ? "" : ",", quantile);
            text += fmt::format("shallotdrift_{}{{{}}} {}\n", key.first, labels,
                boost::accumulators::quantile(summary, boost::accumulators::quantile_probability = quantile));
        }
        text += fmt::format(
            "shallotdrift_{}_sum{} {}\n", key.first, braced(key.second), boost::accumulators::sum(summary));
        text += fmt::format(
            "shallotdrift_{}_count{} {}\n", key.first, braced(key.second), boost::accumulators::count(summary));
    }
    return text;
}

} // namespace shallotdrift
