#pragma once

#include <algorithm>

namespace shallotdrift::internal {

// Tokens for repeating work that may have run. Successes replenish them, so that retries stay a fixed fraction of
// the load and cannot multiply an overload.
class RetryBudget {
public:
    void recordSuccess() { tokens_ = std::min(largest, tokens_ + tokensPerSuccess); }

    bool take()
    {
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

    double tokens() const { return tokens_; }

private:
    static constexpr double tokensPerSuccess = 0.1;
    // Enough for the 5 failures that eject an instance, on a third of a pool of 12.
    static constexpr double largest = 20;

    double tokens_ = largest;
};

} // namespace shallotdrift::internal
