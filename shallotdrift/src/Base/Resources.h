#pragma once

#include <algorithm>
#include <cstdint>

namespace shallotdrift {

struct Resources {
    int64_t milliCores = 0;
    int64_t memoryMegabytes = 0;
    int64_t accelerators = 0;

    bool fitsIn(const Resources& available) const
    {
        return milliCores <= available.milliCores && memoryMegabytes <= available.memoryMegabytes
            && accelerators <= available.accelerators;
    }
    bool isZero() const { return *this == Resources {}; }
    bool operator==(const Resources& other) const
    {
        return milliCores == other.milliCores && memoryMegabytes == other.memoryMegabytes
            && accelerators == other.accelerators;
    }
    bool operator!=(const Resources& other) const { return !(*this == other); }
    Resources& operator+=(const Resources& other)
    {
        milliCores += other.milliCores;
        memoryMegabytes += other.memoryMegabytes;
        accelerators += other.accelerators;
        return *this;
    }
    Resources& operator-=(const Resources& other)
    {
        milliCores -= other.milliCores;
        memoryMegabytes -= other.memoryMegabytes;
        accelerators -= other.accelerators;
        return *this;
    }
    friend Resources operator+(Resources left, const Resources& right) { return left += right; }
    friend Resources operator-(Resources left, const Resources& right) { return left -= right; }
};

// Applies the function to each kind of resource: combine(left, right).
template <typename Combine> Resources combineResources(const Resources& left, const Resources& right, Combine&& combine)
{
    return { combine(left.milliCores, right.milliCores), combine(left.memoryMegabytes, right.memoryMegabytes),
        combine(left.accelerators, right.accelerators) };
}

inline Resources largestOf(const Resources& left, const Resources& right)
{
    return combineResources(left, right, [](int64_t a, int64_t b) { return std::max(a, b); });
}

inline Resources smallestOf(const Resources& left, const Resources& right)
{
    return combineResources(left, right, [](int64_t a, int64_t b) { return std::min(a, b); });
}

} // namespace shallotdrift
