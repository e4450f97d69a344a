#pragma once

#include "../Base/Time.h"

#include <map>
#include <optional>
#include <string>

namespace shallotdrift::internal {

// Demand of the pools over time: smoothed demand, floods under way, and what past floods tell about the next.
class FloodModel {
public:
    struct Prediction {
        std::string pool;
        Instant expectedStart {};
        double peakSlots = 0;
        double confidence = 0; // share of past floods after which this pool came next
    };

    // To be called once for each pool and plan. A flood is demand above what the pool's home instances serve well.
    void update(const std::string& pool, double demandSlots, double homeSlots, Instant now);

    bool flooded(const std::string& pool) const;
    // Smoothed over 2 s, so that noise does not cause moves; a large rise counts at once.
    double currentSlots(const std::string& pool) const;
    // Smoothed over 10 s; decides when borrowed instances may go.
    double recentSlots(const std::string& pool) const;
    // Of the flood under way, from past floods of the pool; a flood that outlasted them is taken to be half over.
    double remainingSeconds(const std::string& pool, Instant now) const;
    // The flood that follows the last one, when its pool and start are regular enough to act on.
    std::optional<Prediction> next(Instant now) const;

private:
    struct Pool {
        double current = 0;
        double recent = 0;
        Instant updatedAt {};
        bool flooded = false;
        Instant floodStart {};
        Instant belowSince {};
        double peak = 0;
        double learnedSeconds = 0; // duration of past floods; 0: none seen
        double learnedPeak = 0;
    };
    struct Succession {
        uint32_t count = 0;
        double gapSeconds = 0; // between the starts
        double gapDeviation = 0;
    };

    void begin(const std::string& name, Pool&, Instant now);
    void end(Pool&, Instant now);

    std::map<std::string, Pool> pools_;
    std::map<std::string, std::map<std::string, Succession>> successions_;
    std::string lastFlood_;
    Instant lastFloodStart_ {};
};

} // namespace shallotdrift::internal
