#pragma once

#include "ReplayReport.h"
#include "Trace.h"

#include <map>
#include <string>
#include <vector>

namespace shallotdrift::internal {

// Collects what happens in a replay and turns it into the report.
class Measures {
public:
    explicit Measures(const Trace&);

    void refused(size_t request, ResultCode);
    // The final attempt ended; late answers count as failures.
    void completed(size_t request, ResultCode, bool inTime, Microseconds startDelay);
    void cancelled(size_t request);
    // Work that ended well on an instance, at the time of its start.
    void executed(const std::string& kind, Microseconds startedAt, Microseconds runtime);
    // Slots in service, for the guaranteed shares; to be called once in each sample interval.
    void sampleSlots(const std::string& pool, uint32_t slots, Microseconds now);

    ReplayReport& report() { return report_; }
    ReplayReport finish();

private:
    // Windows of the guaranteed share.
    struct Window {
        double offeredSeconds = 0;
        double doneSeconds = 0;
        double slotSum = 0;
        uint32_t slotSamples = 0;
    };

    void count(size_t request, void (*change)(KindReport&, ResultCode), ResultCode);
    Window& window(const std::string& kind, Microseconds at);
    double guaranteedKept(const std::string& kind, Microseconds from, Microseconds to) const;
    static void setDelays(KindReport&, std::vector<double>& delays);

    const Trace& trace_;
    ReplayReport report_;
    std::vector<std::vector<size_t>> phasesOf_; // by request
    std::map<std::string, std::vector<double>> delays_; // milliseconds, by kind
    std::map<std::string, std::map<std::string, std::vector<double>>> phaseDelays_;
    std::map<std::string, std::map<int64_t, Window>> windows_; // by kind, then number
};

} // namespace shallotdrift::internal
