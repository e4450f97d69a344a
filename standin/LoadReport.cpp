#include "LoadReport.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallotdrift::standin {

void KindCounts::count(ResultCode code, Duration elapsed, Milliseconds timeout)
{
    if (code == ResultCode::Ok) {
        ++(elapsed <= timeout ? inTime : late);
        times.push_back(elapsed);
    } else if (executionOf(code) == Execution::Ran) {
        ++failed;
    } else if (executionOf(code) == Execution::MayHaveRun) {
        ++unknown;
    } else {
        ++refused[static_cast<unsigned>(code)];
    }
}

static double quantile(std::vector<Duration> times, double share)
{
    if (times.empty())
        return 0;
    auto index = static_cast<size_t>(share * static_cast<double>(times.size() - 1));
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(index), times.end());
    return std::chrono::duration<double, std::milli>(times[index]).count();
}

void LoadReport::print(std::ostream& out) const
{
    out << fmt::format("{:<20}{:>9}{:>9}{:>8}{:>8}{:>9}{:>7}{:>10}{:>10}  {}\n", "kind", "sent", "in time", "late",
        "failed", "unknown", "wrong", "p50 ms", "p99 ms", "refused by code");
    for (const auto& [name, counts] : kinds_) {
        std::string refused;
        for (const auto& [code, number] : counts.refused)
            refused += fmt::format("{}{}: {}", refused.empty() ? "" : ", ", code, number);
        out << fmt::format("{:<20}{:>9}{:>9}{:>8}{:>8}{:>9}{:>7}{:>10.1f}{:>10.1f}  {}\n", name, counts.sent,
            counts.inTime, counts.late, counts.failed, counts.unknown, counts.wrong, quantile(counts.times, 0.5),
            quantile(counts.times, 0.99), refused);
    }
}

bool LoadReport::clean() const
{
    return std::all_of(kinds_.begin(), kinds_.end(), [](const auto& kind) { return kind.second.wrong == 0; });
}

} // namespace shallotdrift::standin
