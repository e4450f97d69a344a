#pragma once

#include "../Base/Time.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace shallotdrift {

// Counters, gauges and duration summaries of the process, rendered in the text exposition format.
class Metrics {
public:
    // Labels as they appear between the braces, for example kind="report",code="0".
    void count(const std::string& name, const std::string& labels = {}, uint64_t by = 1);
    void gauge(const std::string& name, const std::string& labels, double value);
    void observe(const std::string& name, const std::string& labels, Duration value);

    std::string render() const;

private:
    using Key = std::pair<std::string, std::string>;
    using Quantile = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
    using Total = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum>>;
    static constexpr std::array<double, 3> quantileProbabilities { 0.5, 0.9, 0.99 };

    // One accumulator for each quantile: the estimator of a single quantile needs five markers only.
    struct Summary {
        Summary();
        Total total;
        std::array<Quantile, quantileProbabilities.size()> quantiles;
    };

    mutable std::mutex mutex_;
    std::map<Key, uint64_t> counters_;
    std::map<Key, double> gauges_;
    std::map<Key, Summary> summaries_;
};

} // namespace shallotdrift
